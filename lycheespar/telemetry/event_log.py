"""Writes structured events to the log, at a limited rate."""

from __future__ import annotations

import time
from typing import Final

import msgspec
from loguru import logger

from lycheespar.telemetry.events import Event

# Rate and burst size of the token bucket that limits each kind of request
# event. Other events are rare and are always written.
MAX_LINES_PER_S: Final = 20
BURST_LINES: Final = 60


class _TokenBucket:
    """Token bucket that limits the lines of one kind of event.

    Attributes
    ----------
    dropped : int
        Events dropped since the last line of this kind was written.
    """

    __slots__ = ('_refilled_at', '_tokens', 'dropped')

    def __init__(self, now: float) -> None:
        self._refilled_at = now
        self._tokens = float(BURST_LINES)
        self.dropped = 0

    def try_take(self, now: float) -> bool:
        """Take a token, or count the event as dropped if there is none."""
        self._tokens = min(
            self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S,
            BURST_LINES,
        )
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes events to the log and limits the rate of request events.

    After events were dropped, the next line of the same kind reports their
    number as ``dropped_before``.

    Attributes
    ----------
    dropped : int
        Events dropped since the start.
    """

    __slots__ = ('_buckets', 'dropped')

    def __init__(self) -> None:
        """Create a log that has written no events."""
        self._buckets: dict[str, _TokenBucket] = {}
        self.dropped = 0

    def write(self, event: Event) -> None:
        """Write an event, unless the rate limit of its kind is exceeded."""
        fields = msgspec.to_builtins(event)
        if event.rate_limited:
            now = time.monotonic()
            kind = fields['event']
            bucket = self._buckets.get(kind)
            if bucket is None:
                bucket = _TokenBucket(now)
                self._buckets[kind] = bucket
            if not bucket.try_take(now):
                self.dropped += 1
                return
            if bucket.dropped:
                fields['dropped_before'] = bucket.dropped
                bucket.dropped = 0
        logger.bind(part=event.part, fields=fields).info('')


events = EventLog()
