"""File of the claims that a control host holds."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Final

import msgspec
from loguru import logger

from lycheespar.control.files import replace_file, storage_error, write_all
from lycheespar.control.messages import Claim, Release
from lycheespar.control.records import encode_record, read_records
from lycheespar.errors import StorageDamagedError, StorageError

_DAMAGED: Final = '.damaged'

log = logger.bind(part='control')

_encoder = msgspec.msgpack.Encoder()


class Birth(msgspec.Struct, frozen=True, tag='birth'):
    """First record: whether the file holds all claims that were given.

    Attributes
    ----------
    founding : bool
        Whether the data folder was new when the file was made.
    complete : bool
        Whether all claims that were given before have expired.
    """

    founding: bool = False
    complete: bool = False


_Record = Birth | Claim | Release
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


class ClaimsFile:
    """Claims and releases in the order in which they were given.

    A damaged file is set aside, and a new one begun that does not hold all
    claims.

    Parameters
    ----------
    path : Path
        The file; created if need be.
    birth : Birth
        First record of a new file.

    Raises
    ------
    StorageError
        The file can't be used.
    """

    __slots__ = ('_file', '_path', '_stored', '_usable', 'birth', 'records')

    def __init__(self, path: Path, birth: Birth) -> None:
        """Read the file, or make it."""
        self._path = path
        self._usable = True
        self.records = 0
        self._stored: list[Claim | Release] = []
        self.birth = birth
        if path.exists():
            self._load()
        else:
            self._create(birth, ())
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)

    def read(self) -> Iterator[Claim | Release]:
        """Yield what the file held when it was opened, once."""
        stored, self._stored = self._stored, []
        return iter(stored)

    def append(self, messages: Sequence[Claim | Release]) -> None:
        """Append messages and sync them.

        Raises
        ------
        StorageError
            The file can't be used any more.
        """
        if not self._usable:
            raise StorageError("the claims can't be used; restart this host")
        blob = b''.join(
            encode_record(_encoder.encode(message)) for message in messages
        )
        try:
            write_all(self._file, blob)
            os.fsync(self._file)
        except OSError as error:
            self._usable = False
            raise storage_error(error) from error
        self.records += len(messages)

    def rewrite(self, birth: Birth, claims: Iterable[Claim]) -> None:
        """Replace the whole file.

        Raises
        ------
        StorageError
            The old file stands.
        """
        self._create(birth, claims)
        os.close(self._file)
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def close(self) -> None:
        """Close the file."""
        if self._usable:
            self._usable = False
            os.close(self._file)

    def _create(self, birth: Birth, claims: Iterable[Claim]) -> None:
        records = [
            encode_record(_encoder.encode(record))
            for record in (birth, *claims)
        ]
        replace_file(self._path, b''.join(records))
        self.birth = birth
        self.records = len(records) - 1

    def _load(self) -> None:
        try:
            self._read_records()
        except (StorageDamagedError, msgspec.DecodeError) as error:
            log.error('Claims are lost, none are given for a while: {}.', error)
            self._path.replace(self._path.with_suffix(_DAMAGED))
            self._stored = []
            self._create(Birth(), ())

    def _read_records(self) -> None:
        stored = self._path.read_bytes()
        whole = 0
        for end, content in read_records(stored, self._path.name):
            record = _decoder.decode(content)
            if whole == 0:
                self._take_birth(record)
            elif not isinstance(record, Birth):
                self._stored.append(record)
            whole = end
        if whole == 0:
            raise StorageDamagedError('no first record')
        os.truncate(self._path, whole)
        self.records = len(self._stored)

    def _take_birth(self, record: _Record) -> None:
        if not isinstance(record, Birth):
            raise StorageDamagedError('no first record')
        self.birth = record
