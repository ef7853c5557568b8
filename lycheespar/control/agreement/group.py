"""Membership of a control host in its consensus group.

Submits changes, serves consistent reads and reports how fresh the state is.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from loguru import logger

from lycheespar.background import start_background
from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.agreement.election import Election
from lycheespar.control.agreement.group_formation import GroupFormation
from lycheespar.control.agreement.joining import Joining
from lycheespar.control.agreement.leader_messages import LeaderMessageHandler
from lycheespar.control.agreement.leadership import (
    Leadership,
    confirm_to_followers,
)
from lycheespar.control.agreement.leaving import Leaving
from lycheespar.control.agreement.peer_messages import (
    Append,
    AskReadIndex,
    DepartureCommitted,
    Identify,
    Install,
    Join,
    PeerReply,
    PeerRequest,
    Propose,
    Proposed,
    ProposeDeparture,
    ReadIndex,
    RequestVote,
    StampReply,
)
from lycheespar.control.agreement.peers import Peers, Timing
from lycheespar.control.agreement.relay import StampRelay
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.agreement.roster import Roster
from lycheespar.control.agreement.vote_handler import VoteHandler
from lycheespar.control.link import LinkError
from lycheespar.control.messages import Failure
from lycheespar.control.state.state import GroupState, revision_of
from lycheespar.errors import (
    NoQuorumError,
    NotLeaderError,
    StorageError,
    control_error,
)

# Time-out in seconds of a change or of a read, which both need a quorum.
OPERATION_TIMEOUT_S: Final = 10
# A change fails after this many attempts at leaders that can't store it.
MAX_FAILED_LEADERS: Final = 3

log = logger.bind(part='control')


class Group:
    """Replicates the configuration together with the other control hosts.

    Parameters
    ----------
    replica : Replica
        Log and state of this host.
    peers : Peers
        Links to the other control hosts.
    others : Iterable[str]
        Names of the other control hosts.
    timing : Timing
        Time-outs and intervals of the group.
    rng : random.Random
        Randomizes election time-outs, so that hosts rarely campaign at once.
    operation_timeout_s : float
        Time-out in seconds of a change or a read.
    founding : bool
        Whether this host may form a new group with the hosts in `others`.
    """

    __slots__ = (
        '_election',
        '_formation',
        '_joining',
        '_leader_messages',
        '_leadership',
        '_operation_timeout_s',
        '_peers',
        '_relay',
        '_replica',
        '_roster',
        '_tasks',
        '_timing',
        '_vote_handler',
    )

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        others: Iterable[str],
        timing: Timing,
        rng: random.Random,
        operation_timeout_s: float = OPERATION_TIMEOUT_S,
        *,
        founding: bool = True,
    ) -> None:
        """Create a stopped member; `start` runs its background tasks."""
        self._replica = replica
        self._peers = peers
        self._roster = Roster(replica, others)
        self._timing = timing
        self._operation_timeout_s = operation_timeout_s
        self._vote_handler = VoteHandler(replica, timing)
        self._leader_messages = LeaderMessageHandler(replica)
        self._formation = GroupFormation(
            replica,
            peers,
            self._roster,
            timing,
            founding=founding,
        )
        self._election = Election(replica, peers, self._roster, timing, rng)
        self._joining = Joining(replica, peers, self._roster, timing)
        self._leadership: Leadership | None = None
        self._relay = StampRelay(replica, peers, timing)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """Name of this host."""
        return self._replica.name

    @property
    def roster(self) -> Roster:
        """Names of the other known control hosts."""
        return self._roster

    @property
    def state(self) -> GroupState:
        """Newest state that this host knows to be committed."""
        return self._replica.state

    @property
    def leader(self) -> str:
        """Name of the leader; empty if no leader is known."""
        return self._replica.leader

    @property
    def term(self) -> int:
        """Newest term that this host has seen."""
        return self._replica.term

    @property
    def leading(self) -> bool:
        """Whether this host believes that it is the leader."""
        return self._leadership is not None and self._leadership.ready

    @property
    def stamp(self) -> Stamp:
        """Newest known freshness stamp, with its present age."""
        if self._leadership is not None:
            return self._leadership.stamp
        return self._relay.stamp

    def start(self) -> None:
        """Start the background tasks of this member."""
        self._tasks = [
            start_background('leadership', self._run),
            start_background('stamp relay', self._relay.run),
            start_background('joining', self._joining.run),
        ]

    def stop(self) -> None:
        """Stop the background tasks of this member."""
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> None:
        """Give this host's vote back before the host stops, if possible."""
        await Leaving(self._replica, self._timing).run()
        if self._leadership is not None:
            await confirm_to_followers(
                self._leadership, self._timing.election_timeout_s
            )

    async def handle(self, request: PeerRequest) -> PeerReply:
        """Answer a request of another control host.

        Raises
        ------
        ControlError
            The request failed.
        """
        match request:
            case Identify():
                return self._formation.identity
            case Join(host):
                return self._joining.handle_join(host)
            case RequestVote():
                return self._vote_handler.handle_vote_request(request)
            case Append():
                return self._leader_messages.handle_append(request)
            case Install():
                return self._leader_messages.handle_install(request)
            case _:
                return await self._handle_as_leader(request)

    async def submit(self, command: Command) -> int:
        """Submit a command and return the revision that it created.

        Raises
        ------
        ChangeConflictError
            The command is based on another revision.
        ChangeInvalidError
            The change is invalid.
        NoQuorumError
            The outcome is unknown; it is safe to submit the command again.
        """
        reply = await self.ask_leader(Propose(command))
        match reply:
            case Proposed(outcome):
                return revision_of(outcome)
            case _:
                raise NoQuorumError(repr(reply))

    async def read(self) -> GroupState:
        """Return a state at least as new as at the start of the call.

        Raises
        ------
        NoQuorumError
            No quorum confirmed the state before the time-out.
        """
        reply = await self.ask_leader(AskReadIndex())
        match reply:
            case ReadIndex(index):
                await _wait_until_applied(
                    self._replica, index, self._operation_timeout_s
                )
                return self.state
            case _:
                raise NoQuorumError(repr(reply))

    async def ask_leader(self, request: PeerRequest) -> PeerReply:
        """Send a request to the leader; retry until the time-out.

        Raises
        ------
        NoQuorumError
            No leader replied; the outcome is unknown.
        StorageError
            Several leaders can't store a change.
        """
        try:
            async with asyncio.timeout(self._operation_timeout_s):
                return await self._ask_until_answered(request)
        except TimeoutError as error:
            raise NoQuorumError(
                'no leader answered in time; a change may have been '
                + 'accepted: send it again with the same change id',
            ) from error

    async def wait_for_revision_after(
        self,
        revision: int,
        timeout_s: float,
    ) -> None:
        """Wait until the revision exceeds a given one, or for the time-out."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._replica.changed.wait_for(
                    lambda: self.state.revision > revision,
                )

    async def _run(self) -> None:
        """Form or join the group, then alternately follow and lead."""
        await self._formation.form_or_find_group()
        while True:
            await self._election.campaign_until_elected()
            self._leadership = Leadership(
                self._replica,
                self._peers,
                self._roster,
                self._timing,
            )
            try:
                await self._leadership.run()
            except StorageError as error:
                log.error('Storage error ended the term: {}.', error.detail)
            finally:
                self._leadership = None

    async def _handle_as_leader(self, request: PeerRequest) -> PeerReply:
        """Answer a request that only the leader may answer."""
        leadership = self._leadership
        if leadership is None:
            raise NotLeaderError(f"the leader is '{self.leader}'")
        match request:
            case Propose(command):
                return Proposed(await leadership.propose(command))
            case ProposeDeparture(content):
                await leadership.replicate(
                    content, lambda: self.state.has_departure(content)
                )
                return DepartureCommitted()
            case AskReadIndex():
                return ReadIndex(await leadership.read_index())
            case _:
                return StampReply(leadership.stamp)

    async def _ask_until_answered(self, request: PeerRequest) -> PeerReply:
        """Retry failures that another attempt or another leader may resolve."""
        failed_leaders = 0
        while True:
            try:
                return await self._ask_once(request)
            except StorageError as error:
                log.warning(
                    'A leader can not store a change: {}.', error.detail
                )
                failed_leaders += 1
                if failed_leaders == MAX_FAILED_LEADERS:
                    raise
            except (NotLeaderError, LinkError) as error:
                log.debug('Retrying a request to the leader: {}.', error.detail)
            await asyncio.sleep(self._timing.heartbeat_s)

    async def _ask_once(self, request: PeerRequest) -> PeerReply:
        if self._leadership is not None:
            return await self.handle(request)
        if self.leader in {'', self.name}:
            raise NotLeaderError('no leader is known')
        reply = await self._peers.ask(
            self.leader,
            request,
            2 * self._timing.election_timeout_s,
        )
        match reply:
            case Failure(code, detail):
                raise control_error(code, detail)
            case _:
                return reply


async def _wait_until_applied(
    replica: Replica, index: int, timeout_s: float
) -> None:
    """Wait until a host has applied the entries up to an index."""
    try:
        async with asyncio.timeout(timeout_s):
            await replica.changed.wait_for(
                lambda: replica.state.index >= index,
            )
    except TimeoutError as error:
        raise NoQuorumError(
            'this host did not apply the committed entries in time',
        ) from error
