"""What the leader does: replicates, commits and proves its leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.electorate import Electorate
from lycheespar.control.entries import (
    BeginTerm,
    Content,
    LogEntry,
    Proposal,
)
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.members import Member, request_for
from lycheespar.control.peer_messages import AppendReply, PeerReply
from lycheespar.control.peers import Peers, Timing
from lycheespar.control.pulse import Pulse
from lycheespar.control.quorum import NEVER, Voter, has_quorum, quorum_value
from lycheespar.control.replica import Replica, Role
from lycheespar.control.roster import Roster
from lycheespar.control.state import CommandOutcome
from lycheespar.errors import NotLeaderError, StorageFullError

MS_PER_S: Final = 1000

Condition = Callable[[], bool]

log = logger.bind(part='control')


class Leadership:
    """Leads the group in one term.

    Parameters
    ----------
    replica : Replica
        The member that was elected.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        The other control hosts.
    timing : Timing
        Times of the group.
    """

    __slots__ = (
        '_electorate',
        '_first_index',
        '_followers',
        '_nudged',
        '_peers',
        '_replica',
        '_roster',
        '_round',
        '_stamped_at',
        '_started_at',
        '_tasks',
        '_term',
        '_timing',
        'confirmed',
    )

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
    ) -> None:
        """Keep the parts; `run` begins the term."""
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._term = replica.term
        self._first_index = replica.last.index + 1
        self._roster = roster
        self._followers: dict[str, Member] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._electorate = Electorate(
            replica,
            roster,
            self._followers,
            timing,
        )
        self._nudged = Pulse()
        self._started_at = asyncio.get_running_loop().time()
        self._stamped_at = NEVER
        self._round = 0
        self.confirmed = Pulse()

    @property
    def leading(self) -> bool:
        """Whether this host still leads in its term, as far as it knows."""
        replica = self._replica
        return replica.role is Role.leader and replica.term == self._term

    @property
    def ready(self) -> bool:
        """Whether all entries of former terms are applied."""
        return self.leading and self._replica.state.index >= self._first_index

    @property
    def confirmed_at(self) -> float:
        """Time at which a quorum surely still followed this leader."""
        return self._quorum_value(
            asyncio.get_running_loop().time(),
            {
                member.voter: member.acknowledged_at
                for member in self._followers.values()
            },
        )

    @property
    def stamp(self) -> Stamp:
        """Newest stamp, aged to now; the empty one before the first."""
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
        """Lead until a newer term begins or the quorum is lost."""
        try:
            self._append(BeginTerm())
            while self.leading and not self._lost_quorum():
                self._follow_roster()
                if self.ready:
                    self._append(self._electorate.removal())
                await asyncio.sleep(self._timing.heartbeat_s)
            log.warning('Term {} ends at this leader.', self._term)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._resign()

    async def propose(self, command: Command) -> CommandOutcome:
        """Decide on a command.

        Raises
        ------
        NotLeaderError
            This host leads no more; the outcome is unknown.
        StorageFullError
            The disk is full; nothing was proposed.
        """
        await self._until(lambda: self.ready)
        known = self._replica.state.refusal(command)
        if known is not None:
            return known
        try:
            self._append(Proposal(command))
        except StorageFullError:
            self._make_way()
            raise
        outcomes = self._replica.state.outcomes
        await self._until(lambda: command.change_id in outcomes)
        return outcomes[command.change_id]

    async def read_index(self) -> int:
        """Confirm by a quorum round what is committed now.

        Raises
        ------
        NotLeaderError
            This host leads no more.
        """
        asked_at = asyncio.get_running_loop().time()
        await self._until(lambda: self.ready)
        self._nudged.notify()
        while self.confirmed_at < asked_at:
            if not self.leading:
                raise NotLeaderError
            await self.confirmed.wait()
        return self._replica.state.index

    def _follow_roster(self) -> None:
        """Send the log to each host that is known."""
        for host in self._roster.others:
            if host not in self._followers:
                member = Member(host, self._replica.last.index + 1)
                self._followers[host] = member
                self._tasks[host] = asyncio.create_task(self._serve(member))

    async def _serve(self, member: Member) -> None:
        """Send the log to a host until it is of no use any more."""
        try:
            await self._replicate(member)
        finally:
            self._followers.pop(member.host, None)
            self._tasks.pop(member.host, None)

    def _make_way(self) -> None:
        """Resign if a quorum of the others has room for changes.

        Else a new leader could do no better, and this one still proves to
        the nodes that their configuration is current.
        """
        with_room = [
            member.voter
            for member in self._followers.values()
            if member.room and member.acknowledged_at > self._started_at
        ]
        if has_quorum(self._replica.voter_sets, with_room):
            self._resign()

    async def _until(self, condition: Condition) -> None:
        while not condition():
            if not self.leading:
                raise NotLeaderError
            await self._replica.changed.wait()

    def _append(self, content: Content | None) -> None:
        """Append an entry, if there is one to append."""
        if content is None:
            return
        index = self._replica.last.index + 1
        self._replica.append([LogEntry(index, self._term, content)])
        self._commit()
        self._nudged.notify()

    async def _replicate(self, member: Member) -> None:
        """Keep one other control host up to date."""
        loop = asyncio.get_running_loop()
        while self.leading and not self._electorate.has_left(member):
            sent_at = loop.time()
            request = request_for(member, self._replica, self._term)
            try:
                reply = await self._peers.ask(
                    member.host,
                    request,
                    self._timing.reply_s,
                )
            except LinkTimeoutError:
                continue
            progressed = self.leading and self._take(member, reply, sent_at)
            if not progressed or member.next_index > self._replica.last.index:
                await self._until_nudged()

    def _take(
        self,
        member: Member,
        reply: PeerReply,
        sent_at: float,
    ) -> bool:
        """Take a reply; say whether it calls for the next message now."""
        before = member.next_index
        match reply:
            case AppendReply(term) if term > self._term:
                self._replica.adopt(term)
            case AppendReply(_, matched, index, disk, room):
                member.disk = disk
                member.room = room
                member.acknowledged_at = sent_at
                member.next_index = index + 1
                member.matched = index if matched else 0
                self._commit()
                if self.ready:
                    self._append(self._electorate.admission(member))
                self.confirmed.notify()
        return member.next_index != before

    async def _until_nudged(self) -> None:
        try:
            async with asyncio.timeout(self._timing.heartbeat_s):
                await self._nudged.wait()
        except TimeoutError:
            return

    def _commit(self) -> None:
        """Commit what a quorum has synced, if it has one of this term."""
        replica = self._replica
        index = self._quorum_value(
            replica.last.index,
            {
                member.voter: member.matched
                for member in self._followers.values()
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
        heard_at = max(self.confirmed_at, self._started_at)
        now = asyncio.get_running_loop().time()
        return now - heard_at > self._timing.election_timeout_s

    def _resign(self) -> None:
        if self.leading:
            self._replica.role = Role.follower
            self._replica.leader = ''
        self._replica.changed.notify()
        self.confirmed.notify()
