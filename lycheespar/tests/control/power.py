"""A disk that loses power between two calls of the operating system."""

from __future__ import annotations

import os
from pathlib import Path

import pytest


class PowerCutError(Exception):
    """The power is gone; the call has no effect."""


class _File:
    """A file: what it held at its last sync; None before the first."""

    __slots__ = ('synced',)

    def __init__(self) -> None:
        """Start without a sync."""
        self.synced: bytes | None = None


class Disk:
    """Follows one folder's files, and what of them would outlast a power cut.

    A file's content is durable with its sync, and so is the name of a new
    file; names that were replaced are durable once the folder is synced.

    Parameters
    ----------
    folder : Path
        The folder.
    patched : pytest.MonkeyPatch
        Puts the calls of the operating system through this disk.
    """

    def __init__(self, folder: Path, patched: pytest.MonkeyPatch) -> None:
        """Follow an empty folder."""
        self.folder = folder
        self.calls_left = 0
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._open_files: dict[int, _File | None] = {}
        self._open = os.open
        self._sync = os.fsync
        self._replace = os.replace
        self._write = os.write
        self._truncate = os.ftruncate
        for name in ('open', 'fsync', 'replace', 'write', 'ftruncate'):
            patched.setattr(os, name, getattr(self, name))

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        """Open a file or the folder."""
        self._pass()
        opened = self._open(path, flags, mode)
        name = Path(path).name
        known = None
        if Path(path) != self.folder:
            known = self._names.setdefault(name, _File())
        self._open_files[opened] = known
        return opened

    def fsync(self, opened: int) -> None:
        """Make a file's content, or the folder's names, durable."""
        self._pass()
        self._sync(opened)
        known = self._open_files[opened]
        if known is None:
            self._durable_names = dict(self._names)
            return
        name = next(
            name for name, found in self._names.items() if found is known
        )
        known.synced = (self.folder / name).read_bytes()
        self._durable_names.setdefault(name, known)

    def replace(self, old: Path, new: Path) -> None:
        """Give a file another one's name."""
        self._pass()
        self._replace(old, new)
        self._names[Path(new).name] = self._names.pop(Path(old).name)

    def write(self, opened: int, content: bytes) -> int:
        """Write to a file."""
        self._pass()
        return self._write(opened, content)

    def ftruncate(self, opened: int, size: int) -> None:
        """Set the length of a file."""
        self._pass()
        self._truncate(opened, size)

    def lose(self, *, all_gone: bool, share: float) -> None:
        """Lose power: keep what is durable, and of the rest a part or none.

        Parameters
        ----------
        all_gone : bool
            Whether nothing is kept that was not durable.
        share : float
            Part of each unsynced addition to a file that is kept otherwise.
        """
        held = {
            known: (self.folder / name).read_bytes()
            for name, known in self._names.items()
        }
        names = self._durable_names if all_gone else self._names
        kept = {
            name: _torn(known, held.get(known, b''), 0 if all_gone else share)
            for name, known in names.items()
        }
        for path in self.folder.iterdir():
            path.unlink()
        self._names = {}
        for name, content in kept.items():
            (self.folder / name).write_bytes(content)
            self._names[name] = _File()
            self._names[name].synced = content
        self._durable_names = dict(self._names)

    def _pass(self) -> None:
        """Let a call through while there is power."""
        if self.calls_left <= 0:
            raise PowerCutError
        self.calls_left -= 1


def _torn(known: _File, held: bytes, share: float) -> bytes:
    """Return what a file holds after the power came back."""
    synced = known.synced or b''
    if not held.startswith(synced):
        return held if share else synced
    added = held[len(synced) :]
    return synced + added[: int(len(added) * share)]
