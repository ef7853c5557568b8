"""A control host's part in the group: changes, reads and freshness."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from loguru import logger

from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.ballots import Ballots
from lycheespar.control.election import Election
from lycheespar.control.following import Following
from lycheespar.control.forming import Forming
from lycheespar.control.joining import Joining
from lycheespar.control.leadership import Leadership
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import Failure
from lycheespar.control.peer_messages import (
    Append,
    AskReadIndex,
    Identify,
    Install,
    Join,
    PeerReply,
    PeerRequest,
    Propose,
    Proposed,
    ReadIndex,
    RequestVote,
    StampReply,
)
from lycheespar.control.peers import Peers, Timing
from lycheespar.control.relay import StampRelay
from lycheespar.control.replica import Replica
from lycheespar.control.roster import Roster
from lycheespar.control.state import GroupState, revision_of
from lycheespar.errors import (
    NoQuorumError,
    NotLeaderError,
    StorageError,
    StorageFullError,
    control_error,
)

# Longest time for a change or a read that needs a quorum.
OPERATION_TIMEOUT_S: Final = 10
# Leaders with a full disk after which a change is given up.
FULL_LEADERS: Final = 3

log = logger.bind(part='control')


class Group:
    """Agrees with the other control hosts on the configuration.

    Parameters
    ----------
    replica : Replica
        Log and state of this host.
    peers : Peers
        Links to the other control hosts.
    others : Iterable[str]
        Names of the other control hosts.
    timing : Timing
        Times of the group.
    choose : random.Random
        Spreads the campaigns of several hosts.
    operation_timeout_s : float
        Longest time in seconds for a change or a read.
    founding : bool
        Whether this host may form a group with the others named.
    """

    __slots__ = (
        '_ballots',
        '_election',
        '_following',
        '_forming',
        '_joining',
        '_leadership',
        '_operation_timeout_s',
        '_peers',
        '_relay',
        '_replica',
        '_roster',
        '_tasks',
        '_timing',
    )

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        others: Iterable[str],
        timing: Timing,
        choose: random.Random,
        operation_timeout_s: float = OPERATION_TIMEOUT_S,
        *,
        founding: bool = True,
    ) -> None:
        """Build the parts; `start` begins to take part."""
        self._replica = replica
        self._peers = peers
        self._roster = Roster(replica, others)
        self._timing = timing
        self._operation_timeout_s = operation_timeout_s
        self._ballots = Ballots(replica, timing)
        self._following = Following(replica)
        self._forming = Forming(
            replica,
            peers,
            self._roster,
            timing,
            founding=founding,
        )
        self._election = Election(replica, peers, self._roster, timing, choose)
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
        """The other control hosts that are known."""
        return self._roster

    @property
    def state(self) -> GroupState:
        """State that is committed as far as this host knows."""
        return self._replica.state

    @property
    def leader(self) -> str:
        """Name of the leader; empty while none is known."""
        return self._replica.leader

    @property
    def term(self) -> int:
        """Newest term known."""
        return self._replica.term

    @property
    def leading(self) -> bool:
        """Whether this host leads, as far as it knows."""
        return self._leadership is not None and self._leadership.ready

    @property
    def stamp(self) -> Stamp:
        """Newest stamp known, aged to now."""
        if self._leadership is not None:
            return self._leadership.stamp
        return self._relay.stamp

    def start(self) -> None:
        """Begin to take part."""
        self._tasks = [
            asyncio.create_task(self._take_part()),
            asyncio.create_task(self._relay.run()),
            asyncio.create_task(self._joining.run()),
        ]

    def stop(self) -> None:
        """Take part no more."""
        for task in self._tasks:
            task.cancel()

    async def handle(self, request: PeerRequest) -> PeerReply:
        """Answer another control host.

        Raises
        ------
        ControlError
            The request can't be met.
        """
        match request:
            case Identify():
                return self._forming.identity
            case Join(host):
                return self._joining.answer(host)
            case RequestVote():
                return self._ballots.take(request)
            case Append():
                return self._following.take_append(request)
            case Install():
                return self._following.take_install(request)
            case _:
                return await self._lead(request)

    async def submit(self, command: Command) -> int:
        """Have a command decided and return the revision that it made.

        Raises
        ------
        ChangeConflictError
            The command was made against another revision.
        ChangeInvalidError
            The change is invalid.
        NoQuorumError
            The outcome is unknown; the command may be sent again.
        """
        reply = await self._ask_leader(Propose(command))
        match reply:
            case Proposed(outcome):
                return revision_of(outcome)
            case _:
                raise NoQuorumError(repr(reply))

    async def read(self) -> GroupState:
        """Return a state that was current after the call began.

        Raises
        ------
        NoQuorumError
            No quorum confirmed the state in time.
        """
        reply = await self._ask_leader(AskReadIndex())
        match reply:
            case ReadIndex(index):
                await self._applied(index)
                return self.state
            case _:
                raise NoQuorumError(repr(reply))

    async def wait_beyond(self, revision: int, timeout_s: float) -> None:
        """Wait until the revision is greater than the given one."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._replica.changed.wait_for(
                    lambda: self.state.revision > revision,
                )

    async def _take_part(self) -> None:
        """Join a group, then follow or lead."""
        await self._forming.until_formed()
        while True:
            await self._election.until_won()
            self._leadership = Leadership(
                self._replica,
                self._peers,
                self._roster,
                self._timing,
            )
            try:
                await self._leadership.run()
            except StorageError as error:
                log.error('The term ends: {}.', error.detail)
            finally:
                self._leadership = None

    async def _lead(self, request: PeerRequest) -> PeerReply:
        """Answer what only the leader may answer."""
        leadership = self._leadership
        if leadership is None:
            raise NotLeaderError(f"the leader is '{self.leader}'")
        match request:
            case Propose(command):
                return Proposed(await leadership.propose(command))
            case AskReadIndex():
                return ReadIndex(await leadership.read_index())
            case _:
                return StampReply(leadership.stamp)

    async def _ask_leader(self, request: PeerRequest) -> PeerReply:
        """Ask whoever leads, until it answers."""
        try:
            async with asyncio.timeout(self._operation_timeout_s):
                return await self._ask_until_answered(request)
        except TimeoutError as error:
            raise NoQuorumError(
                'no leader answered in time; a change may have been '
                + 'accepted: send it again with the same change id',
            ) from error

    async def _ask_until_answered(self, request: PeerRequest) -> PeerReply:
        """Ask again where it is known that another leader may do better."""
        full = 0
        while True:
            try:
                return await self._ask_once(request)
            except StorageFullError:
                full += 1
                if full == FULL_LEADERS:
                    raise
            except (NotLeaderError, LinkTimeoutError) as error:
                log.debug('A leader is sought again: {}.', error.detail)
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

    async def _applied(self, index: int) -> None:
        try:
            async with asyncio.timeout(self._operation_timeout_s):
                await self._replica.changed.wait_for(
                    lambda: self.state.index >= index,
                )
        except TimeoutError as error:
            raise NoQuorumError('this host lags behind') from error
