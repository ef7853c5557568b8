"""Short-lived messages that gossip spreads to all nodes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import msgspec
from reactivex import Observable
from reactivex.subject import Subject

from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import BroadcastDropped

MAX_BROADCASTS: Final = 256
# Maximum time to live of a broadcast, in seconds.
MAX_TTL_S: Final = 3600
# Maximum size in bytes of topic, key and content together, so that each
# broadcast fits into a datagram.
MAX_BROADCAST_BYTES: Final = 512
# Difference in seconds below which two broadcasts count as expiring at the
# same time.
EXPIRY_TOLERANCE_S: Final = 0.5


class Broadcast(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Message to all nodes that expires.

    Attributes
    ----------
    topic : str
        Kind of the message.
    key : bytes
        Subject of the message; one broadcast per topic and key is kept.
    content : bytes
        Payload, decoded by the subscriber to the topic.
    ttl_s : float
        Remaining time to live in seconds.
    """

    topic: str
    key: bytes
    content: bytes
    ttl_s: float


class BroadcastTable:
    """Broadcasts that have not expired.

    Parameters
    ----------
    clock : Callable
        Monotonic clock, in seconds.
    """

    __slots__ = ('_broadcasts', '_clock', '_subject')

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty table."""
        self._clock = clock
        self._broadcasts: dict[tuple[str, bytes], tuple[Broadcast, float]] = {}
        self._subject: Subject[Broadcast] = Subject()

    @property
    def new_broadcasts(self) -> Observable[Broadcast]:
        """Stream of broadcasts new to this node, its own ones included."""
        return self._subject

    @property
    def current(self) -> tuple[Broadcast, ...]:
        """Unexpired broadcasts, each with its remaining time to live."""
        now = self._clock()
        self._drop_expired(now)
        return tuple(
            Broadcast(
                broadcast.topic,
                broadcast.key,
                broadcast.content,
                expires_at - now,
            )
            for broadcast, expires_at in self._broadcasts.values()
        )

    def publish(self, broadcast: Broadcast) -> bool:
        """Add a broadcast of this node; return whether it was new.

        A broadcast with other content replaces the one of the same topic and
        key. One that has expired or is too large is not added.
        """
        known = self.get(broadcast.topic, broadcast.key)
        if known is not None and known.content == broadcast.content:
            return False
        return self._store(broadcast)

    def receive(self, broadcast: Broadcast) -> bool:
        """Add a broadcast of another node; return whether it was added.

        Of two broadcasts with the same topic and key, the one that expires
        later wins; if both expire at the same time, the one with the greater
        content.
        """
        known = self.get(broadcast.topic, broadcast.key)
        if known is None:
            return self._store(broadcast)
        if known.content == broadcast.content:
            return False
        ttl_difference_s = min(broadcast.ttl_s, MAX_TTL_S) - known.ttl_s
        if abs(ttl_difference_s) < EXPIRY_TOLERANCE_S:
            return broadcast.content > known.content and self._store(broadcast)
        return ttl_difference_s > 0 and self._store(broadcast)

    def get(self, topic: str, key: bytes) -> Broadcast | None:
        """Return an unexpired broadcast with its remaining time to live."""
        broadcast, expires_at = self._broadcasts.get((topic, key), (None, 0))
        remaining_s = expires_at - self._clock()
        if broadcast is None or remaining_s <= 0:
            return None
        return Broadcast(
            broadcast.topic,
            broadcast.key,
            broadcast.content,
            remaining_s,
        )

    def _store(self, broadcast: Broadcast) -> bool:
        invalid = _defect(broadcast)
        if invalid:
            self._write_dropped(broadcast, invalid)
            return False
        now = self._clock()
        key = (broadcast.topic, broadcast.key)
        expires_at = now + min(broadcast.ttl_s, MAX_TTL_S)
        if key not in self._broadcasts and not self._make_room(now, expires_at):
            self._write_dropped(broadcast, 'full')
            return False
        self._broadcasts[key] = (broadcast, expires_at)
        self._subject.on_next(broadcast)
        return True

    def _make_room(self, now: float, expires_at: float) -> bool:
        """Make room for a broadcast, if need be by dropping another one.

        The one that expires first is dropped, unless the new one would expire
        before it.
        """
        if len(self._broadcasts) < MAX_BROADCASTS:
            return True
        self._drop_expired(now)
        if len(self._broadcasts) < MAX_BROADCASTS:
            return True
        first = min(self._broadcasts, key=self._expires_at)
        if self._expires_at(first) >= expires_at:
            return False
        evicted, _ = self._broadcasts.pop(first)
        self._write_dropped(evicted, 'evicted')
        return True

    def _expires_at(self, key: tuple[str, bytes]) -> float:
        return self._broadcasts[key][1]

    def _write_dropped(self, broadcast: Broadcast, reason: str) -> None:
        events.write(
            BroadcastDropped(broadcast.topic, reason, len(self._broadcasts)),
        )

    def _drop_expired(self, now: float) -> None:
        self._broadcasts = {
            key: (broadcast, expires_at)
            for key, (broadcast, expires_at) in self._broadcasts.items()
            if expires_at > now
        }


def _defect(broadcast: Broadcast) -> str:
    """Return why a broadcast cannot be stored; empty if it can."""
    if broadcast.ttl_s <= 0:
        return 'expired'
    size = len(broadcast.topic) + len(broadcast.key) + len(broadcast.content)
    return 'too large' if size > MAX_BROADCAST_BYTES else ''
