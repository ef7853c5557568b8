"""Last configuration of a node, in a file of its data folder."""

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
    """Keeps the last configuration across restarts.

    The file is replaced as a whole, and begins with a digest of its content.

    Parameters
    ----------
    folder : Path
        Data folder; created if need be.
    """

    __slots__ = ('_path',)

    def __init__(self, folder: Path) -> None:
        """Keep the path."""
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / _FILE_NAME

    def load(self) -> Configuration:
        """Return the configuration that was saved last.

        A file that is missing or damaged counts as none.
        """
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Configuration()
        payload = content[_DIGEST_BYTES:]
        if content[:_DIGEST_BYTES] != _digest(payload):
            log.error('The saved configuration is damaged and is not used.')
            return Configuration()
        try:
            return msgspec.msgpack.decode(payload, type=Configuration)
        except msgspec.MsgspecError:
            log.error('The saved configuration is of an unknown form.')
            return Configuration()

    def save(self, configuration: Configuration) -> None:
        """Replace what was saved; it lasts when this returns.

        Raises
        ------
        OSError
            The file can't be written; what was saved before is kept.
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
