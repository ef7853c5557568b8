"""Short-lived facts that gossip spreads to all nodes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import msgspec
from reactivex import Observable
from reactivex.subject import Subject

MAX_BROADCASTS: Final = 256
# Longest time for which a fact may hold, in seconds.
MAX_TTL_S: Final = 3600
# Largest content, so that each fact fits into a datagram, in bytes.
MAX_FACT_BYTES: Final = 512
# Difference below which two facts end together, in seconds.
SAME_END_S: Final = 0.5


class Broadcast(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One fact.

    Attributes
    ----------
    topic : str
        What kind of fact it is.
    key : bytes
        What it is about; one fact a topic and key is kept.
    content : bytes
        Further content, decoded by the topic's part.
    ttl_s : float
        Seconds for which the fact still holds.
    """

    topic: str
    key: bytes
    content: bytes
    ttl_s: float


class BroadcastTable:
    """Facts that hold now.

    Parameters
    ----------
    clock : Callable
        Clock in seconds that never goes back.
    """

    __slots__ = ('_clock', '_facts', '_subject')

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start empty."""
        self._clock = clock
        self._facts: dict[tuple[str, bytes], tuple[Broadcast, float]] = {}
        self._subject: Subject[Broadcast] = Subject()

    @property
    def arrivals(self) -> Observable[Broadcast]:
        """Stream of facts that are new here, own ones included."""
        return self._subject

    @property
    def current(self) -> tuple[Broadcast, ...]:
        """Facts that hold now, with the time that is left to each."""
        now = self._clock()
        self._forget(now)
        return tuple(
            Broadcast(fact.topic, fact.key, fact.content, ends_at - now)
            for fact, ends_at in self._facts.values()
        )

    def publish(self, fact: Broadcast) -> bool:
        """Take a fact of this node unless it is known; say if it was new.

        A fact with other content replaces the one of the same topic and key.
        A fact that no longer holds, or that is too large, is not taken.
        """
        known = self.get(fact.topic, fact.key)
        if known is not None and known.content == fact.content:
            return False
        return self._take(fact)

    def receive(self, fact: Broadcast) -> bool:
        """Take a fact of another node unless a known one goes before it.

        Of two facts with one topic and key, the one that ends later holds;
        of two that end together, the one with the greater content.
        """
        known = self.get(fact.topic, fact.key)
        if known is None:
            return self._take(fact)
        if known.content == fact.content:
            return False
        later_s = min(fact.ttl_s, MAX_TTL_S) - known.ttl_s
        if abs(later_s) < SAME_END_S:
            return fact.content > known.content and self._take(fact)
        return later_s > 0 and self._take(fact)

    def get(self, topic: str, key: bytes) -> Broadcast | None:
        """Return a fact with the time that is left to it, if it holds."""
        fact, ends_at = self._facts.get((topic, key), (None, 0))
        left_s = ends_at - self._clock()
        if fact is None or left_s <= 0:
            return None
        return Broadcast(fact.topic, fact.key, fact.content, left_s)

    def _take(self, fact: Broadcast) -> bool:
        if not _is_valid(fact):
            return False
        now = self._clock()
        key = (fact.topic, fact.key)
        known = self._facts.get(key)
        if len(self._facts) >= MAX_BROADCASTS:
            self._forget(now)
        if len(self._facts) >= MAX_BROADCASTS and known is None:
            return False
        self._facts[key] = (fact, now + min(fact.ttl_s, MAX_TTL_S))
        self._subject.on_next(fact)
        return True

    def _forget(self, now: float) -> None:
        self._facts = {
            key: (fact, ends_at)
            for key, (fact, ends_at) in self._facts.items()
            if ends_at > now
        }


def _is_valid(fact: Broadcast) -> bool:
    size = len(fact.topic) + len(fact.key) + len(fact.content)
    return fact.ttl_s > 0 and size <= MAX_FACT_BYTES
