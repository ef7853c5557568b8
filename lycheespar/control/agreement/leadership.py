"""Work of the leader: replicates, commits and confirms its leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.agreement.follower_progress import FollowerProgress
from lycheespar.control.agreement.notifier import Notifier
from lycheespar.control.agreement.peer_messages import AppendReply, PeerReply
from lycheespar.control.agreement.peers import Peers, Timing
from lycheespar.control.agreement.quorum import (
    NEVER,
    Voter,
    has_quorum,
    quorum_value,
)
from lycheespar.control.agreement.replica import Replica, Role
from lycheespar.control.agreement.replication import Replication
from lycheespar.control.agreement.roster import Roster
from lycheespar.control.agreement.voter_manager import VoterManager
from lycheespar.control.state.entries import (
    BeginTerm,
    Content,
    LogEntry,
    Proposal,
)
from lycheespar.control.state.state import CommandOutcome
from lycheespar.errors import NotLeaderError, StorageError

MS_PER_S: Final = 1000

Condition = Callable[[], bool]

log = logger.bind(part='control')


class Leadership:
    """Leads the group in one term.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host, which was elected.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        The other control hosts.
    timing : Timing
        Time-outs and intervals of the group.

    Attributes
    ----------
    confirmed : Notifier
        Notified at each reply of a follower and at the end of the leadership.
    """

    __slots__ = (
        '_first_index',
        '_followers',
        '_peers',
        '_replica',
        '_roster',
        '_round',
        '_send_requested',
        '_stamped_at',
        '_started_at',
        '_tasks',
        '_term',
        '_timing',
        '_voter_manager',
        'confirmed',
    )

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
    ) -> None:
        """Prepare to lead in the current term; `run` starts to lead."""
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._term = replica.term
        self._first_index = replica.last.index + 1
        self._roster = roster
        self._followers: dict[str, FollowerProgress] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._voter_manager = VoterManager(
            replica,
            roster,
            self._followers,
            timing,
        )
        self._send_requested = Notifier()
        self._started_at = asyncio.get_running_loop().time()
        self._stamped_at = NEVER
        self._round = 0
        self.confirmed = Notifier()

    @property
    def leading(self) -> bool:
        """Whether this host still leads in its term, as far as it knows.

        Another host may already lead in a newer term.
        """
        replica = self._replica
        return replica.role is Role.leader and replica.term == self._term

    @property
    def ready(self) -> bool:
        """Whether this host leads and has applied all earlier entries."""
        return self.leading and self._replica.state.index >= self._first_index

    @property
    def confirmed_at(self) -> float:
        """Latest time at which a quorum is known to have followed this leader.

        Counted from when the acknowledged messages were sent.
        """
        return self._quorum_value(
            asyncio.get_running_loop().time(),
            {
                follower.voter: follower.acknowledged_at
                for follower in self._followers.values()
            },
        )

    @property
    def stamp(self) -> Stamp:
        """Newest stamp with its present age; empty until a quorum confirms."""
        confirmed_at = self.confirmed_at
        if not self.ready or confirmed_at == NEVER:
            return Stamp()
        if confirmed_at > self._stamped_at:
            self._stamped_at = confirmed_at
            self._round += 1
        age_s = asyncio.get_running_loop().time() - confirmed_at
        return Stamp(
            self._term,
            self._replica.state.revision,
            self._round,
            age_s * MS_PER_S,
        )

    async def run(self) -> None:
        """Lead until a newer term starts or the quorum is lost."""
        try:
            self._append(BeginTerm())
            while self.leading and not self._lost_quorum():
                self._start_replication()
                if self.ready:
                    self._append(self._voter_manager.removal_change())
                await asyncio.sleep(self._timing.heartbeat_s)
            log.warning('This host no longer leads in term {}.', self._term)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._step_down()

    async def propose(self, command: Command) -> CommandOutcome:
        """Replicate a command and return its outcome.

        Raises
        ------
        NotLeaderError
            This host no longer leads; the outcome is unknown.
        StorageError
            The command can't be stored; nothing was proposed.
        """
        await self._wait_until(lambda: self.ready)
        known = self._replica.state.known_outcome(command)
        if known is not None:
            return known
        outcomes = self._replica.state.outcomes
        await self.replicate(
            Proposal(command), lambda: command.change_id in outcomes
        )
        return outcomes[command.change_id]

    async def replicate(self, content: Content, is_applied: Condition) -> None:
        """Replicate an entry, unless its effect is in the state already.

        Raises
        ------
        NotLeaderError
            This host no longer leads; the outcome is unknown.
        StorageError
            The entry can't be stored; nothing was appended.
        """
        await self._wait_until(lambda: self.ready)
        if is_applied():
            return
        try:
            self._append(content)
        except StorageError:
            self._step_down_if_quorum_can_store()
            raise
        await self._wait_until(is_applied)

    async def read_index(self) -> int:
        """Return the committed index, confirmed by a round of messages.

        A quorum must acknowledge messages sent after the call, so that no
        newer leader can have committed more.

        Raises
        ------
        NotLeaderError
            This host no longer leads.
        """
        asked_at = asyncio.get_running_loop().time()
        await self._wait_until(lambda: self.ready)
        self._send_requested.notify()
        while self.confirmed_at < asked_at:
            if not self.leading:
                raise NotLeaderError
            await self.confirmed.wait()
        return self._replica.state.index

    def _start_replication(self) -> None:
        """Start to replicate to each known host that has no task yet."""
        now = asyncio.get_running_loop().time()
        for host in self._roster.others:
            if host not in self._followers:
                follower = FollowerProgress(
                    host, self._replica.last.index + 1, now
                )
                self._followers[host] = follower
                self._tasks[host] = asyncio.create_task(
                    self._run_replication(follower)
                )

    async def _run_replication(self, follower: FollowerProgress) -> None:
        """Replicate to a host until this term ends or the host is forgotten."""
        replication = Replication(
            follower,
            self._replica,
            self._peers,
            self._timing,
            self._send_requested,
            self._handle_reply,
        )
        try:
            await replication.run(lambda: self._keeps_sending_to(follower))
        finally:
            self._followers.pop(follower.host, None)
            self._tasks.pop(follower.host, None)

    def _keeps_sending_to(self, follower: FollowerProgress) -> bool:
        if not self.leading:
            return False
        return not self._voter_manager.forget_if_silent(follower)

    def _step_down_if_quorum_can_store(self) -> None:
        """Step down if a quorum of the other hosts can store changes.

        Otherwise, no new leader could accept changes either, and this one
        can still confirm to the nodes that their configuration is current.
        """
        able = [
            follower.voter
            for follower in self._followers.values()
            if follower.accepts_changes
            and follower.acknowledged_at > self._started_at
        ]
        if has_quorum(self._replica.voter_sets, able):
            self._step_down()

    async def _wait_until(self, condition: Condition) -> None:
        while not condition():
            if not self.leading:
                raise NotLeaderError
            await self._replica.changed.wait()

    def _append(self, content: Content | None) -> None:
        """Append an entry with the content, if there is any."""
        if content is None:
            return
        index = self._replica.last.index + 1
        self._replica.append([LogEntry(index, self._term, content)])
        self._commit()
        self._send_requested.notify()

    def _handle_reply(
        self,
        follower: FollowerProgress,
        reply: PeerReply,
        sent_at: float,
    ) -> None:
        """Apply a reply, unless this host no longer leads."""
        if not self.leading:
            return
        match reply:
            case AppendReply(term) if term > self._term:
                self._replica.adopt_term(term)
            case AppendReply():
                follower.update(reply, sent_at)
                self._commit()
                if self.ready:
                    self._append(self._voter_manager.admission_change(follower))
                self.confirmed.notify()

    def _commit(self) -> None:
        """Commit the entries that a quorum has synced.

        Entries of former terms are committed only together with one of this
        term.
        """
        replica = self._replica
        index = self._quorum_value(
            replica.last.index,
            {
                follower.voter: follower.matched
                for follower in self._followers.values()
            },
        )
        if index <= replica.state.index:
            return
        if replica.log.term_at(int(index)) == self._term:
            replica.commit(int(index))

    def _quorum_value(
        self,
        own: float,
        reached: dict[Voter, float],
    ) -> float:
        values = reached | {self._replica.voter: own}
        return quorum_value(self._replica.voter_sets, values)

    def _lost_quorum(self) -> bool:
        last_quorum_at = max(self.confirmed_at, self._started_at)
        now = asyncio.get_running_loop().time()
        return now - last_quorum_at > self._timing.election_timeout_s

    def _step_down(self) -> None:
        if self.leading:
            self._replica.role = Role.follower
            self._replica.leader = ''
        self._replica.changed.notify()
        self.confirmed.notify()


async def confirm_to_followers(
    leadership: Leadership, timeout_s: float
) -> None:
    """Wait until a quorum knows what is committed, if that works in time."""
    try:
        async with asyncio.timeout(timeout_s):
            await leadership.read_index()
    except (TimeoutError, NotLeaderError) as error:
        log.warning('No quorum has confirmed the last entries: {!r}.', error)
