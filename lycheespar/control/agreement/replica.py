"""Replicated state of one control host: its log, term and state.

`VoteHandler` answers vote requests and `LeaderMessageHandler` answers the
leader's messages.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Sequence
from typing import Final

import msgspec
from loguru import logger
from msgspec.structs import replace

from lycheespar.control.agreement.notifier import Notifier
from lycheespar.control.agreement.peer_messages import (
    LogPosition,
)
from lycheespar.control.agreement.quorum import Voter, voter_sets
from lycheespar.control.state.entries import (
    FIRST_INDEX,
    FIRST_TERM,
    FormGroup,
    LogEntry,
    RemoveVoter,
    ReplaceDisk,
    Voters,
)
from lycheespar.control.state.state import GroupState
from lycheespar.control.storage.storage import Storage
from lycheespar.errors import (
    OtherGroupError,
    StorageDamagedError,
    StorageError,
)

# Size in bytes of the applied entries from which a snapshot replaces them, if
# it is not larger itself.
MAX_LOG_BYTES: Final = 4 * 1024 * 1024
# Bound of the work to apply the log after a restart: the number of entries
# times the size of the state, as each change is checked against all of it.
MAX_REPLAYED_BYTES: Final = 64 * 1024 * 1024

_STATE_DECODER: Final = msgspec.msgpack.Decoder(GroupState)
_encoder = msgspec.msgpack.Encoder()

log = logger.bind(part='control')


class Role(enum.Enum):
    """Role of a control host in the current term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class Replica:
    """Log, term and state of one control host.

    Parameters
    ----------
    name : str
        Name of this control host.
    storage : Storage
        Durable state in the data folder of this host.
    snapshot_every : int
        Largest number of applied entries between two snapshots.

    Attributes
    ----------
    state : GroupState
        State after the committed entries.
    role : Role
        Role in the current term.
    leader : str
        Name of the leader; empty while none is known.
    leaving : bool
        Whether this host is about to stop, so that its vote is to be removed
        if enough voters remain.
    changed : Notifier
        Notified when entries are applied, a term is adopted or this host
        stops leading.
    election_timer_started_at : float
        Start of the election time-out: when a leader was last heard or a vote
        was granted. It is shifted to delay or hasten a campaign.
    """

    __slots__ = (
        '_snapshot_every',
        '_storage',
        '_voters_index',
        'changed',
        'election_timer_started_at',
        'leader',
        'leaving',
        'name',
        'role',
        'state',
    )

    def __init__(
        self,
        name: str,
        storage: Storage,
        snapshot_every: int,
    ) -> None:
        """Restore the state from the snapshot and the committed entries.

        Of the entries after the snapshot, only those up to the last committed
        change of the voters are known to be committed after a restart.
        """
        self.name = name
        self.state = storage.snapshot
        self.role = Role.follower
        self.leader = ''
        self.leaving = False
        self.changed = Notifier()
        self.election_timer_started_at = asyncio.get_running_loop().time()
        self._storage = storage
        self._snapshot_every = snapshot_every
        self._voters_index = storage.identity.voters_index
        self.commit(storage.identity.voters_index)

    @property
    def term(self) -> int:
        """Newest term that this host has seen."""
        return self._storage.identity.term

    @property
    def disk(self) -> str:
        """Id of the data folder of this host."""
        return self._storage.identity.disk

    @property
    def voter(self) -> Voter:
        """Name and disk id by which this host votes."""
        return self.name, self.disk

    @property
    def log(self) -> Storage:
        """The stored log, for read access."""
        return self._storage

    @property
    def last(self) -> LogPosition:
        """Position of the last entry of the log."""
        return LogPosition(self._storage.last_index, self._storage.last_term)

    @property
    def committed(self) -> LogPosition:
        """Position of the newest entry known to be committed."""
        return LogPosition(self.state.index, self.state.term)

    @property
    def voter_sets(self) -> tuple[Voters, ...]:
        """Sets of voters, each of which must give a majority now."""
        pending = self._storage.entries(self.state.index + 1)
        return voter_sets(self.state.voters, pending)

    @property
    def may_vote(self) -> bool:
        """Whether this host belongs to a group and may therefore vote.

        The host does not need to know that it is a voter: the change that
        makes it one may exist only in the candidate's log, and a majority may
        depend on this vote. A candidate counts the vote only if its own log
        names this disk, and needs majorities of the voters before and after
        the change.
        """
        if self.state.group:
            return True
        first = self._storage.entries(FIRST_INDEX, 1)
        return any(isinstance(entry.content, FormGroup) for entry in first)

    def form(self, group: str, founders: Voters) -> None:
        """Write the first log entry, which is the same on all founders."""
        content = FormGroup(group, founders)
        self._storage.save_vote(FIRST_TERM, '')
        self._storage.append([LogEntry(FIRST_INDEX, FIRST_TERM, content)])
        identity = replace(self._storage.identity, voters_index=FIRST_INDEX)
        self._storage.save_identity(identity)
        self.commit(FIRST_INDEX)
        log.info("Formed group '{}' with hosts {}.", group, sorted(founders))

    def adopt_term(self, term: int, vote: str = '') -> None:
        """Become a follower; save the term and vote if the term is newer."""
        if term > self.term:
            self._storage.save_vote(term, vote)
            self.leader = ''
        self.role = Role.follower
        self.changed.notify()

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append and sync entries, replacing stored ones from their index on.

        Raises
        ------
        StorageError
            The entries can't be stored; nothing was appended.
        """
        if entries[0].index <= self._storage.last_index:
            self._storage.truncate(entries[0].index)
        self._storage.append(entries)

    def commit(self, index: int) -> None:
        """Apply the stored entries up to a committed index."""
        first = self.state.index + 1
        applied = self._storage.entries(first, index - first + 1)
        if index < first or not applied:
            return
        for entry in applied:
            self.state.apply(entry)
        changes_voters = [
            found.index
            for found in applied
            if isinstance(found.content, FormGroup | ReplaceDisk | RemoveVoter)
        ]
        self._voters_index = max(self._voters_index, *changes_voters, 0)
        self._save_voters_index()
        self._compact()
        self.changed.notify()

    def commit_if_stored(self, position: LogPosition) -> None:
        """Commit up to a peer's committed entry if it is in the log here."""
        if self._storage.term_at(position.index) == position.term:
            self.commit(position.index)

    def check_group(self, group: str) -> None:
        """Reject a message that belongs to another group.

        Raises
        ------
        OtherGroupError
            The message belongs to another group.
        """
        own_group = self.state.group
        if own_group and own_group != group:
            raise OtherGroupError(f"this host belongs to group '{own_group}'")

    def replace_state(self, state: GroupState) -> None:
        """Replace the state and the log with the state of the leader."""
        self._storage.compact(state)
        self.state = state
        self._voters_index = state.index
        self._save_voters_index()
        self.changed.notify()

    def vote_for(self, candidate: str) -> None:
        """Save this host's vote in the current term."""
        self._storage.save_vote(self.term, candidate)

    def snapshot(self) -> GroupState:
        """Return a copy of the state."""
        return _STATE_DECODER.decode(_encoder.encode(self.state))

    def _save_voters_index(self) -> None:
        """Save the index of the newest committed change of the voters.

        If that fails, the state is as it would be without a restart, and the
        next commit tries again.
        """
        identity = self._storage.identity
        if identity.voters_index == self._voters_index:
            return
        try:
            self._storage.save_identity(
                replace(identity, voters_index=self._voters_index)
            )
        except StorageError as error:
            log.error("Saving the voters' index failed: {}.", error.detail)

    def _compact(self) -> None:
        """Replace the applied entries by a snapshot if that is due."""
        applied = self.state.index - self._storage.base_index
        if applied < self._snapshot_every and not _is_costly_to_apply(
            applied,
            self._storage.bytes_until(self.state.index),
            self._storage.snapshot_bytes,
        ):
            return
        try:
            self._storage.compact(self.state)
        except StorageDamagedError:
            raise
        except StorageError as error:
            log.error('Saving the snapshot failed: {}.', error.detail)


def _is_costly_to_apply(
    entries: int, entries_bytes: int, snapshot_bytes: int
) -> bool:
    """Whether entries take much space, or time to apply to a snapshot."""
    if entries_bytes >= max(MAX_LOG_BYTES, snapshot_bytes):
        return True
    return entries * (snapshot_bytes + entries_bytes) > MAX_REPLAYED_BYTES
