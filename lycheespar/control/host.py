"""A control host: answers the nodes and the other control hosts."""

from __future__ import annotations

import random
import time
from pathlib import Path

import zmq.asyncio
from loguru import logger

from lycheespar.config.options import Address
from lycheespar.config.settings import ControlSettings
from lycheespar.configuration.stamp import MS_PER_S
from lycheespar.control.claims import ClaimHost
from lycheespar.control.group import Group
from lycheespar.control.link import LinkServer
from lycheespar.control.messages import (
    Claim,
    ControlReply,
    ControlRequest,
    Failure,
    Pull,
    PullReply,
    Release,
)
from lycheespar.control.peer_messages import (
    AskProgress,
    PeerReply,
    PeerRequest,
    ProgressReply,
)
from lycheespar.control.peers import PeerLinks, Timing, ask_all
from lycheespar.control.progress import Progress, ProgressReport, report
from lycheespar.control.replica import Replica
from lycheespar.control.storage import Storage
from lycheespar.errors import ControlError, NotCurrentError
from lycheespar.membership.records import Liveness, MemberRecord

log = logger.bind(part='control')

HostRequest = ControlRequest | PeerRequest
HostReply = ControlReply | PeerReply


class ControlHost:
    """Serves the replicated configuration to nodes.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    context : zmq.asyncio.Context
        Context of the process.

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
        self._claims = ClaimHost(
            Path(settings.data_folder) / 'claims',
            founding=not replica.state.group,
            founder=lambda: (
                replica.state.founders.get(replica.name) == replica.disk
            ),
        )
        self._progress = Progress()
        self._server: LinkServer[HostRequest, HostReply] = LinkServer(
            context,
            HostRequest,
            self._answer,
        )

    async def start(self) -> None:
        """Open the port and take part in the group."""
        await self._server.start(self.address)
        self.group.start()

    def stop(self) -> None:
        """Close the port, the links and the data folder."""
        self.group.stop()
        self._server.close()
        self._links.close()
        self._claims.close()
        self._storage.close()

    @property
    def fresh(self) -> bool:
        """Whether this host surely has a current state."""
        stamp = self.group.stamp
        limit_s = 2 * self._timing.election_timeout_s
        return stamp.round > 0 and stamp.age_ms < limit_s * MS_PER_S

    def meet(self, record: MemberRecord) -> None:
        """Take the address of another control host, found by gossip."""
        if record.control_port and record.liveness is Liveness.alive:
            address = Address(record.host, record.control_port)
            self.group.roster.meet((str(address),))

    async def progress(self, revision: int) -> ProgressReport:
        """Report how far a revision is in force, from all control hosts."""
        nodes = list(self._progress.nodes)
        async for _, reply in ask_all(
            self._links,
            self.group.roster.others,
            AskProgress(),
            self._timing.reply_s,
        ):
            match reply:
                case ProgressReply(others):
                    nodes.extend(others)
        return report(revision, nodes)

    async def _answer(self, request: HostRequest) -> HostReply:
        try:
            return await self._handle(request)
        except ControlError as error:
            return Failure(error.code, error.detail)

    async def _handle(self, request: HostRequest) -> HostReply:
        match request:
            case Pull():
                return await self._pull(request)
            case Claim() | Release():
                return await self._claims.handle(request)
            case AskProgress():
                return ProgressReply(self._progress.nodes)
            case _:
                return await self.group.handle(request)

    async def _pull(self, request: Pull) -> PullReply:
        """Send what is newer than the node's revision.

        Raises
        ------
        NotCurrentError
            There is nothing newer here, but there may be elsewhere.
        """
        self._progress.note(request.node, request.revision)
        began_at = time.monotonic()
        await self.group.wait_beyond(request.revision, request.wait_s)
        held_ms = (time.monotonic() - began_at) * MS_PER_S
        state = self.group.state
        if state.revision <= request.revision and not self.fresh:
            raise NotCurrentError
        if state.revision < request.revision and self.group.leading:
            log.error(
                "Node '{}' has revision {}, beyond the group's {}.",
                request.node,
                request.revision,
                state.revision,
            )
        changes = state.changes_since(request.revision)
        if changes is None:
            return PullReply(
                self.group.stamp,
                configuration=state.configuration,
                held_ms=held_ms,
            )
        return PullReply(
            self.group.stamp,
            changes,
            held_ms=held_ms,
            base_revision=request.revision,
        )
