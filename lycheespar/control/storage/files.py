"""Durable files that are written atomically and synced."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Final

from lycheespar.errors import StorageError, StorageFullError

_DISK_FULL_ERRNOS: Final = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))
_TEMPORARY_SUFFIX: Final = '.new'


def storage_error(error: OSError) -> StorageError:
    """Return the storage error for an error of the operating system."""
    if error.errno in _DISK_FULL_ERRNOS:
        return StorageFullError('the disk of the data folder is full')
    return StorageError(f'access to the data folder failed: {error}')


def write_all(file: int, content: bytes) -> None:
    """Write all bytes to a file descriptor."""
    view = memoryview(content)
    while view:
        view = view[os.write(file, view) :]


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder."""
    opened = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(opened)
    finally:
        os.close(opened)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically and durably.

    Raises
    ------
    StorageFullError
        The disk is full; the old file is kept.
    StorageError
        Writing failed for another reason.
    """
    temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
    try:
        _write_synced(temporary, content)
        temporary.replace(path)
        sync_folder(path.parent)
    except OSError as error:
        raise storage_error(error) from error


def is_open_file(path: Path, opened: int) -> bool:
    """Whether a path still names the file of an open file descriptor."""
    try:
        return os.path.samestat(path.stat(), os.fstat(opened))
    except OSError:
        return False


def reopen_for_append(path: Path, opened: int) -> int:
    """Open a file that was replaced, and close the descriptor of the old one.

    Raises
    ------
    StorageError
        The file can't be opened; the old descriptor stays open.
    """
    try:
        reopened = os.open(path, os.O_WRONLY | os.O_APPEND)
    except OSError as error:
        raise storage_error(error) from error
    os.close(opened)
    return reopened


def reserve(path: Path, size: int) -> None:
    """Reserve disk space for the next replacement of a file.

    The replacement then succeeds even if the disk is full.

    Parameters
    ----------
    path : Path
        The file that will be replaced.
    size : int
        Bytes to reserve.
    """
    temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
    try:
        _write_synced(temporary, bytes(size))
    except OSError as error:
        raise storage_error(error) from error


def _write_synced(path: Path, content: bytes) -> None:
    """Overwrite a file in place, so that its reserved blocks are reused."""
    opened = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        write_all(opened, content)
        os.ftruncate(opened, len(content))
        os.fsync(opened)
    finally:
        os.close(opened)
