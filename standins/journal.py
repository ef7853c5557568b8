"""What a target has run, in a file that survives the target's death."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One event at a target.

    Attributes
    ----------
    at : float
        Instant of the machine's monotonic clock in seconds.
    kind : str
        ``run``, or ``overrun`` for a request above what the target bears.
    execution : str
        Execution id of the request.
    """

    at: float
    kind: str
    execution: str


class Journal:
    """Appends events to a file, each before the request runs.

    Parameters
    ----------
    path : str
        The file; nothing is written if it is empty.
    """

    def __init__(self, path: str) -> None:
        """Open the file."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags) if path else None

    def note(self, kind: str, execution: str) -> None:
        """Append an event."""
        if self._file is not None:
            line = f'{time.monotonic()} {kind} {execution}\n'
            os.write(self._file, line.encode())


def read_journal(path: Path) -> Iterator[Entry]:
    """Yield the events of a file."""
    for line in path.read_text('utf-8').splitlines():
        at, kind, execution = line.split(' ')
        yield Entry(float(at), kind, execution)
