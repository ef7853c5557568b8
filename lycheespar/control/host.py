"""A control host: serves nodes and the other control hosts."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import zmq.asyncio
from loguru import logger

from lycheespar.configuration.changes import Command
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import MS_PER_S
from lycheespar.control.agreement.group import Group
from lycheespar.control.agreement.peer_messages import (
    AskEvidence,
    AskProgress,
    DepartureCommitted,
    EvidenceReply,
    PeerReply,
    PeerRequest,
    ProgressReply,
    ProposeDeparture,
)
from lycheespar.control.agreement.peers import PeerLinks, Timing, ask_all
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.api.progress import (
    ProgressReport,
    ProgressTracker,
    build_report,
)
from lycheespar.control.claims.claims import ClaimStore
from lycheespar.control.link import LinkServer
from lycheespar.control.messages import (
    AskDepartures,
    Claim,
    ControlReply,
    ControlRequest,
    DepartureRecorded,
    DeparturesReply,
    EvidenceNoted,
    Failure,
    Pull,
    PullReply,
    RecordDeparture,
    Release,
    ReportEvidence,
)
from lycheespar.control.packing import ReplyPacker
from lycheespar.control.pull_replies import ReplyBuilder
from lycheespar.control.state.entries import TargetDeparted
from lycheespar.control.storage.storage import Storage
from lycheespar.errors import ControlError, NoQuorumError, NotCurrentError
from lycheespar.membership.records import Liveness, MemberRecord
from lycheespar.rollouts.collection import EvidenceTable
from lycheespar.rollouts.evidence import TargetEvidence
from lycheespar.settings.definitions import ControlSettings
from lycheespar.settings.options import Address

log = logger.bind(part='control')

HostRequest = ControlRequest | PeerRequest
HostReply = ControlReply | PeerReply


class ControlHost:
    """Replicates the configuration and serves it to nodes.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    context : zmq.asyncio.Context
        ZeroMQ context of the process.

    Raises
    ------
    StorageError
        The data folder can't be used.
    """

    def __init__(
        self,
        settings: ControlSettings,
        context: zmq.asyncio.Context,
    ) -> None:
        """Open the data folder and connect to the other control hosts."""
        self._timing = Timing(
            settings.heartbeat_s,
            settings.election_timeout_s,
            settings.replace_after_s or float('inf'),
            settings.least_voters,
        )
        self.address = settings.address or settings.peers[settings.name]
        self._storage = Storage(Path(settings.data_folder))
        others = {
            host: address
            for host, address in settings.peers.items()
            if host != settings.name
        }
        self._links = PeerLinks(context, others)
        replica = Replica(
            settings.name,
            self._storage,
            settings.snapshot_every,
        )
        self.group = Group(
            replica,
            self._links,
            others,
            self._timing,
            random.Random(),
            settings.operation_timeout_s,
            founding=settings.founding,
        )
        self._claims = ClaimStore(
            Path(settings.data_folder) / 'claims',
            founding=not replica.state.group,
            is_founder=lambda: (
                replica.state.founders.get(replica.name) == replica.disk
            ),
        )
        self._progress = ProgressTracker()
        self._evidence = EvidenceTable()
        self._replies = ReplyBuilder()
        self._packer = ReplyPacker()
        self._server: LinkServer[HostRequest, HostReply] = LinkServer(
            context,
            HostRequest,
            self._answer,
        )

    async def start(self) -> None:
        """Open the port and start to take part in the group."""
        await self._server.start(self.address)
        self.group.start()

    async def leave_after(self, stopped: asyncio.Event) -> None:
        """Wait for an event, then give this host's vote back."""
        await stopped.wait()
        await self.group.leave()

    def stop(self) -> None:
        """Close the port, the links and the data folder."""
        self.group.stop()
        self._server.close()
        self._links.close()
        self._claims.close()
        self._storage.close()

    @property
    def is_current(self) -> bool:
        """Whether a recent stamp proves that this host's state is current."""
        stamp = self.group.stamp
        limit_s = 2 * self._timing.election_timeout_s
        return stamp.round > 0 and stamp.age_ms < limit_s * MS_PER_S

    def add_peer(self, record: MemberRecord) -> None:
        """Add the address of another control host, learnt by gossip."""
        if record.control_port and record.liveness is Liveness.alive:
            address = Address(record.host, record.control_port)
            self.group.roster.add_hosts((str(address),))

    async def progress(self, revision: int) -> ProgressReport:
        """Report which nodes have a revision in force.

        Combines the reports that all reachable control hosts have received.
        """
        nodes = list(self._progress.nodes)
        async for _, reply in ask_all(
            self._links,
            self.group.roster.others,
            AskProgress(),
            self._timing.reply_timeout_s,
        ):
            match reply:
                case ProgressReply(others):
                    nodes.extend(others)
        return build_report(revision, nodes)

    @property
    def leading(self) -> bool:
        """Whether this host leads its group."""
        return self.group.leading

    @property
    def configuration(self) -> Configuration:
        """The newest configuration that this host knows to be committed."""
        return self.group.state.configuration

    async def submit(self, command: Command) -> int:
        """Submit a command and return the revision that it created."""
        return await self.group.submit(command)

    async def evidence(self) -> tuple[TargetEvidence, ...]:
        """Return the newest evidence that all reachable hosts have."""
        async for _, reply in ask_all(
            self._links,
            self.group.roster.others,
            AskEvidence(),
            self._timing.reply_timeout_s,
        ):
            match reply:
                case EvidenceReply(reports):
                    self._evidence.add(*reports)
        return self._running_evidence()

    def _running_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return the evidence on roll-outs that have not ended."""
        self._evidence.keep_services(
            rollout.service
            for rollout in self.configuration.rollouts.values()
            if rollout.is_running
        )
        return self._evidence.reports

    async def _answer(self, request: HostRequest) -> HostReply:
        try:
            return await self._dispatch(request)
        except ControlError as error:
            return Failure(error.code, error.detail)

    async def _dispatch(self, request: HostRequest) -> HostReply:
        match request:
            case Pull():
                return await self._pull(request)
            case Claim() | Release():
                return await self._claims.handle(request)
            case AskProgress():
                return ProgressReply(self._progress.nodes)
            case ReportEvidence() | AskEvidence():
                return self._handle_evidence(request)
            case RecordDeparture() | AskDepartures():
                return await self._handle_departures(request)
            case _:
                return await self.group.handle(request)

    def _handle_evidence(
        self, request: ReportEvidence | AskEvidence
    ) -> EvidenceNoted | EvidenceReply:
        match request:
            case ReportEvidence(evidence):
                self._evidence.add(evidence)
                return EvidenceNoted()
            case AskEvidence():
                return EvidenceReply(self._running_evidence())

    async def _handle_departures(
        self, request: RecordDeparture | AskDepartures
    ) -> DepartureRecorded | DeparturesReply:
        """Record a departure, or return those of a node.

        Raises
        ------
        ControlError
            No quorum replied in time, or no leader can store the departure.
        """
        match request:
            case RecordDeparture(node, departure):
                content = TargetDeparted(node, departure)
                reply = await self.group.ask_leader(ProposeDeparture(content))
                if not isinstance(reply, DepartureCommitted):
                    raise NoQuorumError(repr(reply))
                return DepartureRecorded()
            case AskDepartures(node):
                state = await self.group.read()
                return DeparturesReply(state.departures.get(node, ()))

    async def _pull(self, request: Pull) -> PullReply:
        """Reply with what is newer than the node's revision.

        Waits for a change as long as the node allows.

        Raises
        ------
        NotCurrentError
            This host has nothing newer, but other hosts may have.
        """
        self._progress.record_revision(request.node, request.revision)
        pull_started_at = time.monotonic()
        await self.group.wait_for_revision_after(
            request.revision,
            request.wait_s,
        )
        held_ms = (time.monotonic() - pull_started_at) * MS_PER_S
        state = self.group.state
        if state.revision <= request.revision and not self.is_current:
            raise NotCurrentError
        if state.revision < request.revision and self.group.leading:
            log.error(
                "Node '{}' has revision {}, newer than the group's {}.",
                request.node,
                request.revision,
                state.revision,
            )
        reply = self._replies.build(
            state, request.revision, self.group.stamp, held_ms
        )
        if not request.accepts_packed:
            return reply
        return self._packer.pack(reply, state.revision)
