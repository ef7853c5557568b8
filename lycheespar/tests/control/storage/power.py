"""Simulated disk that loses power between two system calls."""

from __future__ import annotations

import os
from pathlib import Path

import pytest


class PowerLossError(Exception):
    """Raised by system calls after the power loss; the call has no effect."""


class _File:
    """Content of a file at its last sync; None before the first sync."""

    __slots__ = ('synced',)

    def __init__(self) -> None:
        """Create a file that has not been synced."""
        self.synced: bytes | None = None


class Disk:
    """Tracks which files of a folder would survive a power loss.

    A sync of a file makes its content durable, and its name if the file is
    new. A replaced name is durable once the folder is synced.

    Parameters
    ----------
    folder : Path
        The tracked folder.
    patched : pytest.MonkeyPatch
        Replaces the system calls by those of this disk.
    """

    def __init__(self, folder: Path, patched: pytest.MonkeyPatch) -> None:
        """Track an empty folder; no calls are allowed yet."""
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
        self._consume_call()
        opened = self._open(path, flags, mode)
        name = Path(path).name
        tracked = None
        if Path(path) != self.folder:
            tracked = self._names.setdefault(name, _File())
        self._open_files[opened] = tracked
        return opened

    def fsync(self, opened: int) -> None:
        """Make a file's content, or the folder's names, durable."""
        self._consume_call()
        self._sync(opened)
        tracked = self._open_files[opened]
        if tracked is None:
            self._durable_names = dict(self._names)
            return
        name = next(
            name for name, found in self._names.items() if found is tracked
        )
        tracked.synced = (self.folder / name).read_bytes()
        self._durable_names.setdefault(name, tracked)

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file, replacing the one that has the new name."""
        self._consume_call()
        self._replace(old, new)
        self._names[Path(new).name] = self._names.pop(Path(old).name)

    def write(self, opened: int, content: bytes) -> int:
        """Write to a file."""
        self._consume_call()
        return self._write(opened, content)

    def ftruncate(self, opened: int, size: int) -> None:
        """Set the length of a file."""
        self._consume_call()
        self._truncate(opened, size)

    def lose_power(self, *, lose_unsynced: bool, share: float) -> None:
        """Simulate a power loss: keep durable content and part of the rest.

        Parameters
        ----------
        lose_unsynced : bool
            Whether everything that is not durable is lost.
        share : float
            Fraction of the unsynced bytes at the end of a file that is kept
            if not everything is lost.
        """
        stored = {
            tracked: (self.folder / name).read_bytes()
            for name, tracked in self._names.items()
        }
        names = self._durable_names if lose_unsynced else self._names
        kept = {
            name: _content_after_loss(
                tracked, stored.get(tracked, b''), 0 if lose_unsynced else share
            )
            for name, tracked in names.items()
        }
        for path in self.folder.iterdir():
            path.unlink()
        self._names = {}
        for name, content in kept.items():
            (self.folder / name).write_bytes(content)
            self._names[name] = _File()
            self._names[name].synced = content
        self._durable_names = dict(self._names)

    def _consume_call(self) -> None:
        """Count a system call; fail it if the power is lost."""
        if self.calls_left <= 0:
            raise PowerLossError
        self.calls_left -= 1


def _content_after_loss(tracked: _File, stored: bytes, share: float) -> bytes:
    """Return the content of a file after a power loss."""
    synced = tracked.synced or b''
    if not stored.startswith(synced):
        return stored if share else synced
    added = stored[len(synced) :]
    return synced + added[: int(len(added) * share)]
