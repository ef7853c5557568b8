"""Log of the requests that a target ran, in a file that outlives a crash."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One event in the journal of a target.

    Attributes
    ----------
    at : float
        Time of the event by the machine's monotonic clock in seconds.
    kind : str
        ``run`` for a request that was started, ``overrun`` for one that
        exceeded the number of requests that the target can run at once.
    execution : str
        Execution id of the request.
    """

    at: float
    kind: str
    execution: str


class Journal:
    """Appends the events of a target to a file.

    Writes are not buffered, and a target appends an event before it runs the
    request, so that the file is complete after a crash.

    Parameters
    ----------
    path : str
        Path of the file; if it is empty, no events are recorded.
    """

    def __init__(self, path: str) -> None:
        """Open the file for appending, if a path is given."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags) if path else None

    def append(self, kind: str, execution: str) -> None:
        """Append an event with the current time."""
        if self._file is not None:
            line = f'{time.monotonic()} {kind} {execution}\n'
            os.write(self._file, line.encode())


def read_journal(path: Path) -> Iterator[Entry]:
    """Yield the events that a journal file contains."""
    for line in path.read_text('utf-8').splitlines():
        at, kind, execution = line.split(' ')
        yield Entry(float(at), kind, execution)
