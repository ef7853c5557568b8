"""Log lines on standard output: a time, a level, a part, what happened."""

from __future__ import annotations

import os
import select
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

LINES_A_PERIOD: Final = 20
PERIOD_S: Final = 10
# Longest line in bytes: a pipe that is ready takes as much without blocking.
LONGEST_LINE: Final = select.PIPE_BUF
_TIME_FORMAT: Final = 'YYYY-MM-DDTHH:mm:ss.SSSZ'

_encoder = msgspec.json.Encoder()


class RateLimit:
    """Passes a limited number of lines a period for each place in the code.

    The first line of the next period says how many were left out. Events have
    bounds of their own.
    """

    __slots__ = ('_counts', '_ends_at')

    def __init__(self) -> None:
        """Start without counts."""
        self._counts: dict[tuple[str, int], int] = {}
        self._ends_at: dict[tuple[str, int], float] = {}

    def __call__(self, record: Record) -> bool:
        """Say whether a line passes."""
        if 'fields' in record['extra']:
            return True
        place = (record['file'].path, record['line'])
        now = time.monotonic()
        if now >= self._ends_at.get(place, 0):
            left_out = self._counts.get(place, 0) - LINES_A_PERIOD
            self._ends_at[place] = now + PERIOD_S
            self._counts[place] = 0
            if left_out > 0:
                record['message'] += f' ({left_out} more were left out.)'
        self._counts[place] += 1
        return self._counts[place] <= LINES_A_PERIOD


class LineWriter:
    """Writes lines to a descriptor that may be blocked; never waits.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to.
    process : str
        Identity of the process, part of each line.
    as_json : bool
        Whether each line is a JSON object.

    Attributes
    ----------
    dropped : int
        Lines that could not be written at once.
    """

    __slots__ = ('_as_json', '_descriptor', '_poll', '_process', 'dropped')

    def __init__(self, descriptor: int, process: str, *, as_json: bool) -> None:
        """Watch the descriptor."""
        self._descriptor = descriptor
        self._process = process
        self._as_json = as_json
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def __call__(self, message: Message) -> None:
        """Write one line, or count it as dropped."""
        record = message.record
        line = self._json(record) if self._as_json else self._text(record)
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self.dropped += 1
            return
        shortened = line[: LONGEST_LINE - 1] + b'\n'
        try:
            os.write(self._descriptor, shortened)
        except OSError:
            # There is nowhere left to say it; the count shows it.
            self.dropped += 1

    def _json(self, record: Record) -> bytes:
        fields = self._head(record) | _fields(record)
        if record['message']:
            fields['message'] = record['message']
        if record['exception'] is not None:
            fields['exception'] = repr(record['exception'].value)
        return _encoder.encode(fields)

    def _head(self, record: Record) -> dict[str, Any]:
        return {
            'at': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'process': self._process,
            'part': record['extra']['part'],
        }

    def _text(self, record: Record) -> bytes:
        at = format(record['time'], _TIME_FORMAT)
        level = record['level'].name
        named = ' '.join(
            f'{name}={found}' for name, found in _fields(record).items()
        )
        error = record['exception']
        raised = '' if error is None else f' {error.value!r}'
        said = ' '.join(part for part in (record['message'], named) if part)
        line = f'{at} {level: <7} [{record["extra"]["part"]}] {said}{raised}'
        return line.encode()


def configure_logs(level: str, *, as_json: bool, process: str = '') -> None:
    """Send log lines to standard output.

    Parameters
    ----------
    level : str
        Least severe level.
    as_json : bool
        Whether each line is a JSON object.
    process : str
        Identity of the process.
    """
    logger.remove()
    logger.configure(extra={'part': 'app'})
    logger.add(
        LineWriter(sys.stdout.fileno(), process, as_json=as_json),
        level=level,
        format='{message}',
        filter=RateLimit(),
        backtrace=False,
        diagnose=False,
        catch=True,
    )


def _fields(record: Record) -> dict[str, Any]:
    """Return what was bound to a line, besides its part."""
    extra = dict(record['extra'])
    extra.pop('part', None)
    fields: dict[str, Any] = extra.pop('fields', {})
    return extra | fields
