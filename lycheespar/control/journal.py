"""Append-only file of log entries."""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from loguru import logger

from lycheespar.control.entries import LogEntry
from lycheespar.control.files import replace_file, storage_error, write_all
from lycheespar.control.records import encode_record, read_records
from lycheespar.errors import StorageDamagedError, StorageError

log = logger.bind(part='control')

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LogEntry)


class Journal:
    """Entries in a file; each append is synced before it returns.

    Parameters
    ----------
    path : Path
        The file; created if need be.

    Raises
    ------
    StorageDamagedError
        A record that isn't the torn last one is damaged.
    """

    __slots__ = ('_ends', '_file', '_path', '_usable', 'entries')

    def __init__(self, path: Path) -> None:
        """Read the entries; drop a torn last record."""
        self._path = path
        self._usable = True
        self.entries: list[LogEntry] = []
        self._ends: list[int] = []
        if not path.exists():
            replace_file(path, b'')
        stored = path.read_bytes()
        for end, content in read_records(stored, path.name):
            self._ends.append(end)
            self.entries.append(_decode(content, path.name))
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)
        if self._end < len(stored):
            log.warning("'{}' has a torn end; it is cut off.", path.name)
            self._cut(self._end)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries and sync them.

        Raises
        ------
        StorageFullError
            The disk is full; nothing was appended.
        StorageError
            The file can't be used any more.
        """
        self._check()
        records = [encode_record(_encoder.encode(entry)) for entry in entries]
        end = self._end
        try:
            write_all(self._file, b''.join(records))
        except OSError as error:
            self._cut(end)
            raise storage_error(error) from error
        self._sync()
        for entry, record in zip(entries, records, strict=True):
            end += len(record)
            self._ends.append(end)
            self.entries.append(entry)

    def truncate(self, kept: int) -> None:
        """Keep only the first entries."""
        self._check()
        self.entries = self.entries[:kept]
        self._ends = self._ends[:kept]
        self._cut(self._end)

    def rewrite(self, entries: Iterable[LogEntry]) -> None:
        """Replace all entries at once.

        Raises
        ------
        StorageFullError
            The disk is full; the old entries stand.
        """
        self._check()
        kept = list(entries)
        records = [encode_record(_encoder.encode(entry)) for entry in kept]
        replace_file(self._path, b''.join(records))
        os.close(self._file)
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self.entries = kept
        self._ends = []
        for record in records:
            self._ends.append(self._end + len(record))

    def close(self) -> None:
        """Close the file."""
        self._usable = False
        os.close(self._file)

    @property
    def _end(self) -> int:
        return self._ends[-1] if self._ends else 0

    def _cut(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError as error:
            self._usable = False
            raise storage_error(error) from error
        self._sync()

    def _sync(self) -> None:
        """Sync; after a failure the file's state is unknown."""
        try:
            os.fsync(self._file)
        except OSError as error:
            self._usable = False
            raise StorageError(f'sync failed: {error}') from error

    def _check(self) -> None:
        if not self._usable:
            raise StorageError("the log can't be used; restart this host")


def _decode(content: bytes, name: str) -> LogEntry:
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise StorageDamagedError(f"'{name}': {error}") from error
