"""File to which log entries are appended."""

from __future__ import annotations

import bisect
import os
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from loguru import logger

from lycheespar.control.state.entries import LogEntry
from lycheespar.control.storage.files import (
    is_open_file,
    reopen_for_append,
    replace_file,
    storage_error,
    write_all,
)
from lycheespar.control.storage.records import encode_record, read_records
from lycheespar.errors import StorageDamagedError, StorageError

log = logger.bind(part='control')

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LogEntry)


class Journal:
    """Log entries in a file; each append is synced before it returns.

    After an error that leaves the stored content unknown, the file is not used
    any more: the next change first writes all entries to a new file.

    Parameters
    ----------
    path : Path
        The file; created if it does not exist.

    Attributes
    ----------
    entries : list[LogEntry]
        All entries in the file, in order.

    Raises
    ------
    StorageDamagedError
        A record is damaged that is not just a torn write at the end.
    """

    __slots__ = (
        '_closed',
        '_end_offsets',
        '_file',
        '_path',
        '_usable',
        'entries',
    )

    def __init__(self, path: Path) -> None:
        """Read the entries and remove a torn write at the end."""
        self._path = path
        self._usable = True
        self._closed = False
        self.entries: list[LogEntry] = []
        self._end_offsets: list[int] = []
        if not path.exists():
            replace_file(path, b'')
        stored = path.read_bytes()
        for end, content in read_records(stored, path.name):
            self._end_offsets.append(end)
            self.entries.append(_decode(content, path.name))
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)
        if self._end_offset < len(stored):
            log.warning("Removed a torn write at the end of '{}'.", path.name)
            self._truncate_file(self._end_offset)

    def stop_within(self, start: int, stop: int | None, max_bytes: int) -> int:
        """Return a stop position so that entries from `start` have a size.

        Parameters
        ----------
        start : int
            Position of the first entry, which is always included.
        stop : int | None
            Latest stop position.
        max_bytes : int
            Largest size of further entries together with the first one.
        """
        last_byte = self.size_of_first(start) + max_bytes
        found = bisect.bisect_right(self._end_offsets, last_byte, start)
        latest = len(self.entries) if stop is None else stop
        return min(max(found, start + 1), latest)

    def size_of_first(self, count: int) -> int:
        """Return the size in bytes of the given number of first entries."""
        return self._end_offsets[count - 1] if count else 0

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries and sync the file.

        Raises
        ------
        StorageFullError
            The disk is full; nothing was appended.
        StorageError
            Writing failed, or the file can't be replaced after an error.
        """
        self._repair()
        records = [encode_record(_encoder.encode(entry)) for entry in entries]
        end = self._end_offset
        try:
            write_all(self._file, b''.join(records))
        except OSError as error:
            self._truncate_file(end)
            raise storage_error(error) from error
        self._sync()
        for entry, record in zip(entries, records, strict=True):
            end += len(record)
            self._end_offsets.append(end)
            self.entries.append(entry)

    def truncate(self, count: int) -> None:
        """Keep only the given number of entries from the start."""
        self._repair()
        self.entries = self.entries[:count]
        self._end_offsets = self._end_offsets[:count]
        self._truncate_file(self._end_offset)

    def rewrite(self, entries: Iterable[LogEntry]) -> None:
        """Replace all entries atomically.

        Raises
        ------
        StorageFullError
            The disk is full; the old entries are kept.
        StorageError
            Writing failed; the old entries are kept.
        """
        self._check_open()
        kept = list(entries)
        records = [encode_record(_encoder.encode(entry)) for entry in kept]
        try:
            replace_file(self._path, b''.join(records))
        except StorageError:
            # The new file may have taken the place of the open one already.
            self._usable = self._usable and is_open_file(self._path, self._file)
            raise
        self._usable = False
        self._file = reopen_for_append(self._path, self._file)
        self._usable = True
        self.entries = kept
        self._end_offsets = []
        for record in records:
            self._end_offsets.append(self._end_offset + len(record))

    def close(self) -> None:
        """Close the file."""
        self._closed = True
        os.close(self._file)

    def is_writable(self) -> bool:
        """Whether entries can be appended, as far as is known.

        Replaces the file if an error has made it unusable.
        """
        try:
            self._repair()
        except StorageError:
            return False
        return True

    @property
    def _end_offset(self) -> int:
        return self._end_offsets[-1] if self._end_offsets else 0

    def _truncate_file(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError as error:
            self._usable = False
            raise storage_error(error) from error
        self._sync()

    def _sync(self) -> None:
        """Sync the file.

        After a failure, the stored content is unknown and the file is not
        used any more.
        """
        try:
            os.fsync(self._file)
        except OSError as error:
            self._usable = False
            raise storage_error(error) from error

    def _check_open(self) -> None:
        if self._closed:
            raise StorageError('the log is closed')

    def _repair(self) -> None:
        """Write all entries to a new file if the present one is unusable."""
        self._check_open()
        if self._usable:
            return
        self.rewrite(self.entries)
        log.warning("Wrote '{}' anew after an error.", self._path.name)


def _decode(content: bytes, name: str) -> LogEntry:
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise StorageDamagedError(f"'{name}': {error}") from error
