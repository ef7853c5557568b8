"""Short-lived facts that gossip spreads to all nodes."""

from __future__ import annotations

import time
from typing import Final

import msgspec
from reactivex import Observable
from reactivex.subject import Subject

MAX_BROADCASTS: Final = 256


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
    """Facts that hold now."""

    __slots__ = ('_facts', '_subject')

    def __init__(self) -> None:
        """Start empty."""
        self._facts: dict[tuple[str, bytes], tuple[Broadcast, float]] = {}
        self._subject: Subject[Broadcast] = Subject()

    @property
    def arrivals(self) -> Observable[Broadcast]:
        """Stream of facts that are new here, own ones included."""
        return self._subject

    @property
    def current(self) -> tuple[Broadcast, ...]:
        """Facts that hold now, with the time that is left to each."""
        now = time.monotonic()
        self._facts = {
            key: (fact, ends_at)
            for key, (fact, ends_at) in self._facts.items()
            if ends_at > now
        }
        return tuple(
            Broadcast(fact.topic, fact.key, fact.content, ends_at - now)
            for fact, ends_at in self._facts.values()
        )

    def publish(self, fact: Broadcast) -> bool:
        """Take a fact unless it is known; say whether it was new.

        A fact with other content replaces the one of the same topic and key.
        """
        key = (fact.topic, fact.key)
        now = time.monotonic()
        known, ends_at = self._facts.get(key, (None, now))
        if known and known.content == fact.content and ends_at > now:
            return False
        if len(self._facts) >= MAX_BROADCASTS and known is None:
            return False
        self._facts[key] = (fact, now + fact.ttl_s)
        self._subject.on_next(fact)
        return True
