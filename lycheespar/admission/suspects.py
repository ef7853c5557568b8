"""Requests under suspicion of crashing their targets.

Each crash is told to all nodes with the fingerprints of the requests that ran
at the target. A fingerprint in one crash is a suspect; one that alone was in
two crashes is convicted. A successful run clears a suspect.
"""

from __future__ import annotations

import enum
import os
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from lycheespar.membership.broadcast import Broadcast, BroadcastTable

# Time in seconds for which a convicted fingerprint is refused.
CONVICTED_S: Final = 60
# Time in seconds for which a crash is remembered; past `CONVICTED_S` its
# fingerprints are suspects, so that a trial runs alone.
SUSPECT_S: Final = 120
# Crashes after which a fingerprint is convicted.
CRASH_LIMIT: Final = 2
# Fingerprints in one message.
FINGERPRINTS_A_FACT: Final = 24
_CRASH: Final = 'crash'
_CLEARED: Final = 'crash_cleared'
_ID_BYTES: Final = 8
_FINGERPRINT_BYTES: Final = 16


class Verdict(enum.Enum):
    """How requests with a fingerprint are handled."""

    clear = 'clear'
    suspect = 'suspect'
    convicted = 'convicted'


class _Crash(msgspec.Struct):
    """One crash of a target."""

    at: float
    fingerprints: set[bytes]


class SuspectTable:
    """Crashes that all nodes know of.

    Parameters
    ----------
    broadcasts : BroadcastTable
        Spreads crashes to all nodes.
    clock : Callable[[], float]
        Clock in seconds that never goes back.
    """

    __slots__ = ('_broadcasts', '_cleared', '_clock', '_crashes')

    def __init__(
        self,
        broadcasts: BroadcastTable,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Follow the broadcasts."""
        self._broadcasts = broadcasts
        self._clock = clock
        self._crashes: dict[bytes, _Crash] = {}
        self._cleared: dict[bytes, set[bytes]] = {}
        broadcasts.arrivals.subscribe(self._take)

    def verdict(self, fingerprint: bytes) -> Verdict:
        """Say how requests with a fingerprint are handled now."""
        if not self._crashes:
            return Verdict.clear
        self._expire()
        crashes = self._of(fingerprint)
        if not crashes:
            return Verdict.clear
        if len(crashes) < CRASH_LIMIT or self._past(crashes):
            return Verdict.suspect
        counts = Counter(
            found for crash in crashes for found in crash.fingerprints
        )
        counts.pop(fingerprint)
        shared = max(counts.values(), default=0) >= CRASH_LIMIT
        return Verdict.suspect if shared else Verdict.convicted

    def retry_after_s(self, fingerprint: bytes) -> float:
        """Return the time in seconds until a convicted one may be tried."""
        newest = max(crash.at for crash in self._of(fingerprint))
        return max(newest + CONVICTED_S - self._clock(), 1)

    def report(self, fingerprints: Iterable[bytes]) -> None:
        """Tell all nodes of a crash and what ran at the target."""
        crash_id = os.urandom(_ID_BYTES)
        found = sorted(set(fingerprints))
        for start in range(0, len(found), FINGERPRINTS_A_FACT):
            part = found[start : start + FINGERPRINTS_A_FACT]
            self._publish(
                _CRASH,
                crash_id + bytes([start // FINGERPRINTS_A_FACT]),
                b''.join(part),
            )

    def clear(self, fingerprint: bytes) -> None:
        """Tell all nodes that a suspect ran without a crash."""
        crash_ids = [
            crash_id
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
        ]
        self._publish(_CLEARED, fingerprint, b''.join(crash_ids))

    def _publish(self, topic: str, key: bytes, content: bytes) -> None:
        self._broadcasts.publish(Broadcast(topic, key, content, SUSPECT_S))

    def _take(self, fact: Broadcast) -> None:
        match fact.topic:
            case 'crash':
                self._add(
                    fact.key[:_ID_BYTES],
                    set(_split(fact.content, _FINGERPRINT_BYTES)),
                    self._clock() - SUSPECT_S + fact.ttl_s,
                )
            case 'crash_cleared':
                for crash_id in _split(fact.content, _ID_BYTES):
                    cleared = self._cleared.setdefault(crash_id, set())
                    cleared.add(fact.key)

    def _add(self, crash_id: bytes, found: set[bytes], at: float) -> None:
        crash = self._crashes.setdefault(crash_id, _Crash(at, set()))
        crash.fingerprints |= found

    def _of(self, fingerprint: bytes) -> list[_Crash]:
        """Return the crashes of a fingerprint, without what is cleared."""
        return [
            _Crash(
                crash.at,
                crash.fingerprints - self._cleared.get(crash_id, set()),
            )
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
            and fingerprint not in self._cleared.get(crash_id, set())
        ]

    def _past(self, crashes: list[_Crash]) -> bool:
        newest = max(crash.at for crash in crashes)
        return self._clock() - newest >= CONVICTED_S

    def _expire(self) -> None:
        ended = self._clock() - SUSPECT_S
        old = [key for key, crash in self._crashes.items() if crash.at <= ended]
        for crash_id in old:
            self._crashes.pop(crash_id)
            self._cleared.pop(crash_id, None)


def _split(content: bytes, size: int) -> list[bytes]:
    starts = range(0, len(content), size)
    return [content[start : start + size] for start in starts]
