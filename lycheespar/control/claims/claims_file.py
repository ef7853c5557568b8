"""File in which a control host stores the claims that it has granted."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Final

import msgspec
from loguru import logger

from lycheespar.control.messages import Claim, Release
from lycheespar.control.storage.files import (
    is_open_file,
    reopen_for_append,
    replace_file,
    storage_error,
    write_all,
)
from lycheespar.control.storage.records import encode_record, read_records
from lycheespar.errors import StorageDamagedError, StorageError

_DAMAGED_SUFFIX: Final = '.damaged'

log = logger.bind(part='control')

_encoder = msgspec.msgpack.Encoder()


class FileHeader(msgspec.Struct, frozen=True, tag='birth'):
    """First record of the file: whether claims may be missing from it.

    Attributes
    ----------
    founding : bool
        Whether the data folder was new when the file was created.
    complete : bool
        Whether all claims that may be missing have expired.
    """

    founding: bool = False
    complete: bool = False


_Record = FileHeader | Claim | Release
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


class ClaimsFile:
    """Append-only file of claims and releases.

    A damaged file is renamed, and a new one created whose header says that
    claims may be missing. After a failed write, the content is unknown; the
    file must be rewritten before it is used again.

    Parameters
    ----------
    path : Path
        Path of the file, which is created if it does not exist.
    header : FileHeader
        First record, if the file is created.

    Raises
    ------
    StorageError
        The file can't be used.
    """

    __slots__ = (
        '_closed',
        '_file',
        '_loaded',
        '_path',
        '_usable',
        'header',
        'records',
    )

    def __init__(self, path: Path, header: FileHeader) -> None:
        """Load or create the file and open it for appending."""
        self._path = path
        self._usable = True
        self._closed = False
        self.records = 0
        self._loaded: list[Claim | Release] = []
        self.header = header
        if path.exists():
            self._load()
        else:
            self._create(header, ())
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)

    @property
    def is_usable(self) -> bool:
        """Whether messages can be appended, as far as is known."""
        return self._usable

    def read(self) -> Iterator[Claim | Release]:
        """Return the loaded messages; empty from the second call on."""
        stored, self._loaded = self._loaded, []
        return iter(stored)

    def append(self, messages: Sequence[Claim | Release]) -> None:
        """Append messages to the file and sync it.

        Raises
        ------
        StorageError
            The write failed; so do all others until the file is rewritten.
        """
        self._check_open()
        if not self._usable:
            raise StorageError('the claims file is unusable after an error')
        encoded = b''.join(
            encode_record(_encoder.encode(message)) for message in messages
        )
        try:
            write_all(self._file, encoded)
            os.fsync(self._file)
        except OSError as error:
            self._usable = False
            raise storage_error(error) from error
        self.records += len(messages)

    def rewrite(self, header: FileHeader, claims: Iterable[Claim]) -> None:
        """Replace the file by a header and claims.

        Raises
        ------
        StorageError
            The write failed; the old file is unchanged.
        """
        self._check_open()
        try:
            self._create(header, claims)
        except StorageError:
            # The new file may have taken the place of the open one already.
            self._usable = self._usable and is_open_file(self._path, self._file)
            raise
        self._usable = False
        self._file = reopen_for_append(self._path, self._file)
        self._usable = True

    def close(self) -> None:
        """Close the file."""
        if not self._closed:
            self._closed = True
            os.close(self._file)

    def _check_open(self) -> None:
        if self._closed:
            raise StorageError('the claims file is closed')

    def _create(self, header: FileHeader, claims: Iterable[Claim]) -> None:
        records = [
            encode_record(_encoder.encode(record))
            for record in (header, *claims)
        ]
        replace_file(self._path, b''.join(records))
        self.header = header
        self.records = len(records) - 1

    def _load(self) -> None:
        try:
            self._read_records()
        except (StorageDamagedError, msgspec.DecodeError) as error:
            log.error(
                'The claims file is damaged; no claims are granted until the '
                'lost ones have expired: {}.',
                error,
            )
            self._path.replace(self._path.with_suffix(_DAMAGED_SUFFIX))
            self._loaded = []
            self._create(FileHeader(), ())

    def _read_records(self) -> None:
        stored = self._path.read_bytes()
        valid_bytes = 0
        for end, content in read_records(stored, self._path.name):
            record = _decoder.decode(content)
            if valid_bytes == 0:
                self._set_header(record)
            elif not isinstance(record, FileHeader):
                self._loaded.append(record)
            valid_bytes = end
        if valid_bytes == 0:
            raise StorageDamagedError('the claims file has no header record')
        os.truncate(self._path, valid_bytes)
        self.records = len(self._loaded)

    def _set_header(self, record: _Record) -> None:
        if not isinstance(record, FileHeader):
            raise StorageDamagedError('the claims file has no header record')
        self.header = record
