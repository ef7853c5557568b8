"""Last configuration of a node, saved in its data folder."""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import Final

import msgspec
from loguru import logger

from lycheespar.configuration.model import Configuration

_FILE_NAME: Final = 'configuration.bin'
_DIGEST_BYTES: Final = 16

log = logger.bind(part='control')


class SavedConfiguration:
    """Saves the last configuration so that it survives restarts.

    The file is replaced atomically and starts with a digest of its content.

    Parameters
    ----------
    folder : Path
        Data folder; created if it does not exist.
    """

    __slots__ = ('_path',)

    def __init__(self, folder: Path) -> None:
        """Create the data folder if it does not exist."""
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / _FILE_NAME

    def load(self) -> Configuration:
        """Return the configuration that was saved last.

        Return the empty configuration if the file is missing or damaged.
        """
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Configuration()
        payload = content[_DIGEST_BYTES:]
        if content[:_DIGEST_BYTES] != _digest(payload):
            log.error('Ignoring the saved configuration: its digest is wrong.')
            return Configuration()
        try:
            return msgspec.msgpack.decode(payload, type=Configuration)
        except msgspec.MsgspecError:
            log.error('Ignoring the saved configuration: it cannot be decoded.')
            return Configuration()

    def save(self, configuration: Configuration) -> None:
        """Save a configuration durably in place of the former one.

        Raises
        ------
        OSError
            The file can't be written; the former configuration is kept.
        """
        payload = msgspec.msgpack.encode(configuration)
        partial = self._path.with_suffix('.partial')
        with partial.open('wb') as file:
            file.write(_digest(payload) + payload)
            file.flush()
            os.fsync(file.fileno())
        partial.replace(self._path)
        _sync_folder(self._path.parent)


def _digest(payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=_DIGEST_BYTES).digest()


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
