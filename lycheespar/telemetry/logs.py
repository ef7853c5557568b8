"""Log lines on standard output, as text or JSON."""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

# Maximum number of lines per period from one place in the code.
MAX_LINES_PER_PERIOD: Final = 20
PERIOD_S: Final = 10
# Longer lines are truncated: a pipe that is ready for writing accepts this
# many bytes without blocking.
MAX_LINE_BYTES: Final = select.PIPE_BUF
STDOUT_DESCRIPTOR: Final = 1
_TIME_FORMAT: Final = 'YYYY-MM-DDTHH:mm:ss.SSSZ'

_encoder = msgspec.json.Encoder()


class RateLimit:
    """Log filter that limits the lines per period from each place in the code.

    The first line of a later period reports how many lines were suppressed.
    Events always pass, since `EventLog` limits their rate.
    """

    __slots__ = ('_counts', '_period_ends_at')

    def __init__(self) -> None:
        """Create a filter that has counted no lines."""
        self._counts: dict[tuple[str, int], int] = {}
        self._period_ends_at: dict[tuple[str, int], float] = {}

    def __call__(self, record: Record) -> bool:
        """Count a line and return whether it is written."""
        if 'fields' in record['extra']:
            return True
        place = (record['file'].path, record['line'])
        now = time.monotonic()
        if now >= self._period_ends_at.get(place, 0):
            suppressed = self._counts.get(place, 0) - MAX_LINES_PER_PERIOD
            self._period_ends_at[place] = now + PERIOD_S
            self._counts[place] = 0
            if suppressed > 0:
                record['message'] += f' ({suppressed} more were suppressed.)'
        self._counts[place] += 1
        return self._counts[place] <= MAX_LINES_PER_PERIOD


class LineWriter:
    """Log sink that writes to a file descriptor without blocking.

    A line is dropped if the descriptor is not ready for writing.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    process : str
        Identity of the process, written in each JSON line.
    as_json : bool
        Whether each line is a JSON object.

    Attributes
    ----------
    dropped : int
        Number of lines that could not be written.
    """

    __slots__ = ('_as_json', '_descriptor', '_poll', '_process', 'dropped')

    def __init__(self, descriptor: int, process: str, *, as_json: bool) -> None:
        """Register the descriptor for polling."""
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
        truncated = line[: MAX_LINE_BYTES - 1] + b'\n'
        try:
            os.write(self._descriptor, truncated)
        except OSError:
            # The failure can't be logged either, so it is only counted.
            self.dropped += 1

    def _json(self, record: Record) -> bytes:
        fields = self._common_fields(record) | _bound_fields(record)
        if record['message']:
            fields['message'] = record['message']
        if record['exception'] is not None:
            fields['exception'] = repr(record['exception'].value)
        return _encoder.encode(fields)

    def _common_fields(self, record: Record) -> dict[str, Any]:
        return {
            'at': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'process': self._process,
            'part': record['extra']['part'],
        }

    def _text(self, record: Record) -> bytes:
        at = format(record['time'], _TIME_FORMAT)
        level = record['level'].name
        fields = ' '.join(
            f'{name}={field}' for name, field in _bound_fields(record).items()
        )
        error = record['exception']
        suffix = '' if error is None else f' {error.value!r}'
        text = ' '.join(part for part in (record['message'], fields) if part)
        line = f'{at} {level: <7} [{record["extra"]["part"]}] {text}{suffix}'
        return line.encode()


def configure_logs(level: str, *, as_json: bool, process: str = '') -> None:
    """Write log lines to standard output, replacing other log sinks.

    Parameters
    ----------
    level : str
        Minimum level of the lines that are written.
    as_json : bool
        Whether each line is a JSON object.
    process : str
        Identity of the process, written in each JSON line.
    """
    logger.remove()
    logger.configure(extra={'part': 'app'})
    logger.add(
        LineWriter(STDOUT_DESCRIPTOR, process, as_json=as_json),
        level=level,
        format='{message}',
        filter=RateLimit(),
        backtrace=False,
        diagnose=False,
        catch=True,
    )


def _bound_fields(record: Record) -> dict[str, Any]:
    """Return the fields that were bound to a line, except its part."""
    extra = dict(record['extra'])
    extra.pop('part', None)
    fields: dict[str, Any] = extra.pop('fields', {})
    return extra | fields
