"""Handles messages of the leader: entries and states to install."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from loguru import logger

from lycheespar.control.agreement.peer_messages import (
    Append,
    AppendReply,
    Install,
    LogPosition,
)
from lycheespar.control.agreement.replica import Replica, Role
from lycheespar.control.state.entries import LogEntry
from lycheespar.errors import StorageError

log = logger.bind(part='control')


class LeaderMessageHandler:
    """Follows the leader of each term.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host.
    """

    __slots__ = ('_replica',)

    def __init__(self, replica: Replica) -> None:
        """Create the handler of leader messages for a replica."""
        self._replica = replica

    def handle_append(self, request: Append) -> AppendReply:
        """Append the entries of a leader and acknowledge them.

        If they can't be stored, the host still follows the leader but does
        not acknowledge them.
        """
        replica = self._replica
        if not self._accept_leader(request):
            return self._reply(0, matched=False)
        previous = request.previous
        if previous.index > replica.state.index and (
            replica.log.term_at(previous.index) != previous.term
        ):
            return self._reply(self._agreement_hint(previous), matched=False)
        appended = len(request.entries)
        try:
            self._merge(request.entries)
        except StorageError as error:
            log.error('Appending log entries failed: {}.', error.detail)
            appended = 0
        index = max(previous.index + appended, replica.state.index)
        replica.commit(min(request.committed, index))
        self._restart_election_timer()
        return self._reply(index, matched=True)

    def handle_install(self, request: Install) -> AppendReply:
        """Install the state of a leader if it is newer than ours."""
        replica = self._replica
        if not self._accept_leader(request):
            return self._reply(0, matched=False)
        if request.state.index > replica.state.index:
            replica.replace_state(request.state)
        self._restart_election_timer()
        return self._reply(replica.state.index, matched=True)

    def _accept_leader(self, request: Append | Install) -> bool:
        """Follow a leader and return True, unless its term is outdated."""
        replica = self._replica
        replica.check_group(request.group)
        if request.term < replica.term:
            return False
        if request.term > replica.term:
            replica.adopt_term(request.term, request.leader)
        if not replica.log.identity.vote:
            # A host that joins in this term must not vote for another in it.
            replica.vote_for(request.leader)
        if replica.leader != request.leader:
            log.info("Following '{}' in term {}.", request.leader, request.term)
        replica.role = Role.follower
        replica.leader = request.leader
        self._restart_election_timer()
        return True

    def _restart_election_timer(self) -> None:
        """Count the leader's silence from now, not from before a slow sync."""
        self._replica.election_timer_started_at = (
            asyncio.get_running_loop().time()
        )

    def _agreement_hint(self, previous: LogPosition) -> int:
        """Return an index up to which the logs may agree.

        That is the last entry if the log here is shorter, or else the entry
        before those of the term that differs. Committed entries always agree.
        """
        replica = self._replica
        index = min(previous.index - 1, replica.last.index)
        differing = replica.log.term_at(previous.index)
        if differing is not None:
            while index > replica.state.index and (
                replica.log.term_at(index) == differing
            ):
                index -= 1
        return max(index, replica.state.index)

    def _merge(self, entries: Sequence[LogEntry]) -> None:
        """Append missing entries and replace uncommitted ones that differ."""
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
            self._replica.log.accepts_changes,
            self._replica.leaving,
        )
