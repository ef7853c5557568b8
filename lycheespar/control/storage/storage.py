"""The data folder of a control host: identity, snapshot and log.

Files: ``lock``; ``identity`` with the disk id, term and vote; ``snapshot`` with
the state up to an index; ``log`` with the entries after that index.
"""

from __future__ import annotations

import fcntl
import os
import uuid
from collections.abc import Sequence
from pathlib import Path
from typing import Final, TypeVar

import msgspec
from loguru import logger
from msgspec.structs import replace

from lycheespar.control.state.entries import LogEntry
from lycheespar.control.state.state import GroupState
from lycheespar.control.storage.files import (
    replace_file,
    reserve,
    storage_error,
    sync_folder,
)
from lycheespar.control.storage.journal import Journal
from lycheespar.control.storage.records import encode_record, read_records
from lycheespar.errors import (
    StorageDamagedError,
    StorageError,
    StorageFullError,
    StorageLockedError,
)

_LOCK: Final = 'lock'
_IDENTITY: Final = 'identity'
_SNAPSHOT: Final = 'snapshot'
_LOG: Final = 'log'
# Disk space reserved for the next identity, so that a vote can be saved on a
# full disk.
_RESERVED_BYTES: Final = 4096
# Free space in bytes at or below which a disk counts as full.
_MIN_FREE_BYTES: Final = 16 * 1024 * 1024

Stored = TypeVar('Stored')

log = logger.bind(part='control')

_encoder = msgspec.msgpack.Encoder()


class Identity(msgspec.Struct, frozen=True):
    """Durable state of a control host besides the log and the snapshot.

    Attributes
    ----------
    disk : str
        Id of this data folder, created at the first start.
    term : int
        Newest term that this host has seen.
    vote : str
        Candidate or leader that has this host's vote in the term; empty for
        none.
    voters_index : int
        Index of the newest change of the voters that is known to be
        committed.
    """

    disk: str
    term: int = 0
    vote: str = ''
    voters_index: int = 0


class Storage:
    """Durable state of a control host.

    Parameters
    ----------
    folder : Path
        Data folder; created if it does not exist.

    Attributes
    ----------
    identity : Identity
        Disk id, term and vote.
    snapshot : GroupState
        State of the snapshot as it was loaded.
    snapshot_bytes : int
        Size of the present snapshot in bytes; 0 if there is none.

    Raises
    ------
    StorageLockedError
        Another process has locked the folder.
    StorageDamagedError
        A file is damaged or missing.
    """

    __slots__ = (
        '_base_index',
        '_base_term',
        '_folder',
        '_journal',
        '_lock',
        'identity',
        'snapshot',
        'snapshot_bytes',
    )

    _journal: Journal

    def __init__(self, folder: Path) -> None:
        """Lock the folder and load its files."""
        self.identity = Identity('')
        self._folder = folder
        self.snapshot_bytes = 0
        self._lock = _lock(folder)
        try:
            self._load()
        except BaseException:
            os.close(self._lock)
            raise

    @property
    def base_index(self) -> int:
        """Index of the last entry that the snapshot covers."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._base_index + len(self._journal.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry of the log."""
        entries = self._journal.entries
        return entries[-1].term if entries else self._base_term

    @property
    def has_free_space(self) -> bool:
        """Whether the disk has enough free space for further changes."""
        stats = os.statvfs(self._folder)
        return stats.f_bavail * stats.f_frsize > _MIN_FREE_BYTES

    @property
    def accepts_changes(self) -> bool:
        """Whether changes can be stored, as far as is known."""
        return self.has_free_space and self._journal.is_writable()

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the entry isn't stored."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._journal.entries[index - self._base_index - 1].term
        return None

    def entries(
        self,
        first: int,
        limit: int | None = None,
        max_bytes: int | None = None,
    ) -> list[LogEntry]:
        """Return entries from an index on, which must be after the snapshot.

        Parameters
        ----------
        first : int
            Index of the first entry.
        limit : int | None
            Largest number of entries.
        max_bytes : int | None
            Largest stored size of the entries, if there is more than one.
        """
        start = first - self._base_index - 1
        stop = None if limit is None else start + limit
        if max_bytes is not None:
            stop = self._journal.stop_within(start, stop, max_bytes)
        return self._journal.entries[start:stop]

    def bytes_until(self, index: int) -> int:
        """Return the stored size of the entries up to an index, in bytes."""
        return self._journal.size_of_first(index - self._base_index)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append and sync entries.

        Raises
        ------
        StorageError
            The entries can't be stored; nothing was appended.
        """
        self._journal.append(entries)

    def truncate(self, first: int) -> None:
        """Remove the entries from an index on."""
        self._journal.truncate(first - self._base_index - 1)

    def save_identity(self, identity: Identity) -> None:
        """Save the identity and reserve space for the next one."""
        if identity == self.identity:
            return
        content = encode_record(_encoder.encode(identity))
        path = self._folder / _IDENTITY
        replace_file(path, content)
        self.identity = identity
        try:
            reserve(path, _RESERVED_BYTES)
        except StorageFullError as error:
            log.error(
                'Reserving space for the next vote failed: {}.', error.detail
            )

    def save_vote(self, term: int, candidate: str) -> None:
        """Save a term and the candidate that has the vote in it."""
        self.save_identity(replace(self.identity, term=term, vote=candidate))

    def compact(self, state: GroupState) -> None:
        """Save a snapshot and remove the entries that it covers.

        All entries are removed if the log contradicts the snapshot.
        """
        kept: list[LogEntry] = []
        if self.term_at(state.index) == state.term:
            kept = self.entries(state.index + 1)
        content = encode_record(_encoder.encode(state))
        replace_file(self._folder / _SNAPSHOT, content)
        self.snapshot_bytes = len(content)
        self._journal.rewrite(kept)
        self._base_index, self._base_term = state.index, state.term
        log.info('Saved a snapshot of the state up to index {}.', state.index)

    def close(self) -> None:
        """Close the files and release the lock."""
        self._journal.close()
        os.close(self._lock)

    def _load(self) -> None:
        """Read identity, snapshot and log."""
        identity = self._read(_IDENTITY, Identity)
        snapshot = self._read(_SNAPSHOT, GroupState)
        if identity is None and not self._is_fresh(snapshot):
            raise StorageDamagedError("'identity' is missing")
        if identity and identity.term and not (self._folder / _LOG).exists():
            raise StorageDamagedError("'log' is missing")
        self.snapshot = snapshot or GroupState()
        if snapshot is not None:
            self.snapshot_bytes = (self._folder / _SNAPSHOT).stat().st_size
        self._base_index = self.snapshot.index
        self._base_term = self.snapshot.term
        self._journal = Journal(self._folder / _LOG)
        self._drop_covered_entries()
        if identity is None:
            self.save_identity(Identity(uuid.uuid4().hex))
        else:
            self.identity = identity
        if self.identity.voters_index > self.last_index:
            raise StorageDamagedError("'log' has lost entries that were synced")

    def _is_fresh(self, snapshot: GroupState | None) -> bool:
        """Whether nothing has been stored yet.

        The first start creates an empty log before the identity and may be
        interrupted between the two.
        """
        log_path = self._folder / _LOG
        is_empty = not log_path.exists() or not log_path.stat().st_size
        return is_empty and snapshot is None

    def _drop_covered_entries(self) -> None:
        """Remove entries that the snapshot covers.

        They are left over if the process ends after the snapshot is saved
        and before the log is rewritten.
        """
        entries = self._journal.entries
        kept = [entry for entry in entries if entry.index > self._base_index]
        if any(self._conflicts_with_snapshot(entry) for entry in entries):
            kept = []
        expected = range(self._base_index + 1, self._base_index + 1 + len(kept))
        if [entry.index for entry in kept] != list(expected):
            raise StorageDamagedError("'log' doesn't follow the snapshot")
        if len(kept) < len(entries):
            self._journal.rewrite(kept)

    def _conflicts_with_snapshot(self, entry: LogEntry) -> bool:
        """Whether an entry differs from the one that the snapshot covers.

        This is so if the snapshot came from a leader that had replaced it.
        """
        return entry.index == self._base_index and (
            entry.term != self._base_term
        )

    def _read(self, name: str, stored_type: type[Stored]) -> Stored | None:
        path = self._folder / name
        if not path.exists():
            return None
        records = list(read_records(path.read_bytes(), name))
        if len(records) != 1:
            raise StorageDamagedError(f"'{name}' is damaged")
        try:
            return msgspec.msgpack.decode(records[0][1], type=stored_type)
        except msgspec.DecodeError as error:
            raise StorageDamagedError(f"'{name}': {error}") from error


def _create_folder(folder: Path) -> None:
    """Create a folder durably unless it exists."""
    if not folder.exists():
        folder.mkdir(parents=True)
        sync_folder(folder.parent)


def _lock(folder: Path) -> int:
    try:
        _create_folder(folder)
        opened = os.open(folder / _LOCK, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise storage_error(error) from error
    try:
        fcntl.flock(opened, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(opened)
        raise StorageLockedError(f"another process uses '{folder}'") from error
    except OSError as error:
        os.close(opened)
        raise StorageError(str(error)) from error
    return opened
