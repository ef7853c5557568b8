"""Answers leaders: takes entries and states."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from loguru import logger

from lycheespar.control.entries import LogEntry
from lycheespar.control.peer_messages import Append, AppendReply, Install
from lycheespar.control.replica import Replica, Role
from lycheespar.errors import StorageFullError

log = logger.bind(part='control')


class Following:
    """Follows the leaders of the group.

    Parameters
    ----------
    replica : Replica
        The member.
    """

    __slots__ = ('_replica',)

    def __init__(self, replica: Replica) -> None:
        """Keep the member."""
        self._replica = replica

    def take_append(self, request: Append) -> AppendReply:
        """Answer a leader that sends entries.

        With a full disk the leader is followed, but its entries aren't
        acknowledged.
        """
        replica = self._replica
        if not self._follow(request):
            return self._reply(0, matched=False)
        previous = request.previous
        if previous.index > replica.state.index and (
            replica.log.term_at(previous.index) != previous.term
        ):
            return self._reply(replica.state.index, matched=False)
        taken = len(request.entries)
        try:
            self._merge(request.entries)
        except StorageFullError as error:
            log.error('Entries are not taken: {}.', error.detail)
            taken = 0
        index = max(previous.index + taken, replica.state.index)
        replica.commit(min(request.committed, index))
        return self._reply(index, matched=True)

    def take_install(self, request: Install) -> AppendReply:
        """Answer a leader that sends its state."""
        replica = self._replica
        if not self._follow(request):
            return self._reply(0, matched=False)
        if request.state.index > replica.state.index:
            replica.replace_state(request.state)
        return self._reply(replica.state.index, matched=True)

    def _follow(self, request: Append | Install) -> bool:
        """Follow a leader unless its term is old."""
        replica = self._replica
        replica.check_group(request.group)
        if request.term < replica.term:
            return False
        if request.term > replica.term:
            replica.adopt(request.term, request.leader)
        if not replica.log.identity.vote:
            # A member that joins in this term must not vote in it again.
            replica.vote(request.leader)
        if replica.leader != request.leader:
            log.info("'{}' leads in term {}.", request.leader, request.term)
        replica.role = Role.follower
        replica.leader = request.leader
        replica.heard_at = asyncio.get_running_loop().time()
        return True

    def _merge(self, entries: Sequence[LogEntry]) -> None:
        """Append what is missing; drop what a former leader left behind."""
        replica = self._replica
        first = next(
            (
                position
                for position, entry in enumerate(entries)
                if entry.index > replica.state.index
                and replica.log.term_at(entry.index) != entry.term
            ),
            None,
        )
        if first is not None:
            replica.append(entries[first:])

    def _reply(self, index: int, *, matched: bool) -> AppendReply:
        return AppendReply(
            self._replica.term,
            matched,
            index,
            self._replica.disk,
            self._replica.log.room,
        )
