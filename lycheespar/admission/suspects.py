"""Requests that are suspected of crashing their targets.

Each crash is broadcast to all nodes with the fingerprints of the requests that
were running at the target. A fingerprint in one crash is a suspect. It is
convicted if it was in at least two crashes and no other fingerprint was in all
of them. A successful run clears a suspect.

A conviction ends in a trial, in which the request runs alone. A trial that ends
in a crash is broadcast as well, and multiplies the time until the next one.
"""

from __future__ import annotations

import enum
import os
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from lycheespar.membership.broadcast import (
    MAX_TTL_S,
    Broadcast,
    BroadcastTable,
)
from lycheespar.telemetry.crash_events import (
    CrashLearned,
    SuspectCleared,
    TrialFailed,
)
from lycheespar.telemetry.event_log import events

# Time in seconds after a crash for which a convicted fingerprint is refused.
CONVICTION_S: Final = 60
# Time in seconds for which a crash is remembered. After `CONVICTION_S` its
# convicted fingerprints become suspects, so that a trial runs without other
# calls.
CRASH_RETENTION_S: Final = 120
# Factor by which each failed trial multiplies the time until the next one. A
# request that comes again for half an hour crashes two targets before its
# conviction and three in trials.
REFUSAL_GROWTH: Final = 4
# Time in seconds for which failed trials are remembered. The broadcasts all
# live equally long, so that the newest one on a fingerprint replaces others.
TRIAL_RETENTION_S: Final = MAX_TTL_S
# Longest time in seconds between two trials. It leaves as long again for the
# trial before the failed ones are forgotten.
MAX_REFUSAL_S: Final = TRIAL_RETENTION_S / 2
# Number of crashes from which a fingerprint is convicted.
CRASH_LIMIT: Final = 2
# Number of fingerprints in one broadcast, so that it fits into a datagram.
FINGERPRINTS_PER_BROADCAST: Final = 24
_CRASH: Final = 'crash'
_CLEARED: Final = 'crash_cleared'
_TRIAL_FAILED: Final = 'crash_trial_failed'
# Bytes of the number of failed trials in a broadcast.
_COUNT_BYTES: Final = 2
_ID_BYTES: Final = 8
_FINGERPRINT_BYTES: Final = 16


class Verdict(enum.Enum):
    """How requests with a fingerprint are handled."""

    clear = 'clear'
    suspect = 'suspect'
    convicted = 'convicted'


class Evidence(msgspec.Struct, frozen=True):
    """What is known about the crashes of a fingerprint.

    Attributes
    ----------
    verdict : Verdict
        How requests with the fingerprint are handled.
    crashes : int
        Crashes of the fingerprint that it is not cleared of.
    most_shared : int
        Most of these crashes that another fingerprint was in as well.
    """

    verdict: Verdict
    crashes: int = 0
    most_shared: int = 0


class _Crash(msgspec.Struct):
    """One crash of a target."""

    at: float
    fingerprints: set[bytes]


class _FailedTrials(msgspec.Struct, frozen=True):
    """Trials of a convicted fingerprint that ended in a crash.

    Attributes
    ----------
    count : int
        Number of these trials.
    refused_until : float
        Instant of the next trial.
    expires_at : float
        Instant at which the trials no longer count.
    """

    count: int
    refused_until: float
    expires_at: float


class SuspectTable:
    """Table of crashes, replicated to all nodes by broadcasts.

    Parameters
    ----------
    broadcasts : BroadcastTable
        Distributes crashes to all nodes.
    clock : Callable[[], float]
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_broadcasts',
        '_cleared',
        '_clock',
        '_crashes',
        '_failed_trials',
    )

    def __init__(
        self,
        broadcasts: BroadcastTable,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty table that subscribes to the broadcasts."""
        self._broadcasts = broadcasts
        self._clock = clock
        self._crashes: dict[bytes, _Crash] = {}
        self._cleared: dict[bytes, set[bytes]] = {}
        self._failed_trials: dict[bytes, _FailedTrials] = {}
        broadcasts.new_broadcasts.subscribe(self._on_broadcast)

    def verdict(self, fingerprint: bytes) -> Verdict:
        """Return how requests with a fingerprint are to be handled now."""
        return self.evidence(fingerprint).verdict

    def evidence(self, fingerprint: bytes) -> Evidence:
        """Return the verdict on a fingerprint and the crashes behind it."""
        if not self._crashes and not self._failed_trials:
            return Evidence(Verdict.clear)
        self._expire()
        crashes = self._crashes_of(fingerprint)
        trials = self._failed_trials.get(fingerprint)
        if trials is not None:
            is_refused = self._clock() < trials.refused_until
            return Evidence(
                Verdict.convicted if is_refused else Verdict.suspect,
                CRASH_LIMIT + trials.count,
            )
        if not crashes:
            return Evidence(Verdict.clear)
        most_shared = _most_shared(fingerprint, crashes)
        undecided = (
            len(crashes) < CRASH_LIMIT
            or most_shared == len(crashes)
            or self._is_trial_due(crashes)
        )
        return Evidence(
            Verdict.suspect if undecided else Verdict.convicted,
            len(crashes),
            most_shared,
        )

    def retry_after_s(self, fingerprint: bytes) -> float:
        """Return the time in seconds until a convicted request may be tried."""
        now = self._clock()
        trials = self._failed_trials.get(fingerprint)
        if trials is not None:
            return max(trials.refused_until - now, 1)
        newest = max(crash.at for crash in self._crashes_of(fingerprint))
        return max(newest + CONVICTION_S - now, 1)

    def report(self, fingerprints: Iterable[bytes]) -> None:
        """Broadcast a crash with the fingerprints that ran at the target."""
        crash_id = os.urandom(_ID_BYTES)
        found = sorted(set(fingerprints))
        for tried in filter(self._is_on_trial, found):
            known = self._failed_trials.get(tried)
            count = 1 if known is None else known.count + 1
            self._publish_failed_trials(tried, count)
        for start in range(0, len(found), FINGERPRINTS_PER_BROADCAST):
            part = found[start : start + FINGERPRINTS_PER_BROADCAST]
            self._publish(
                _CRASH,
                crash_id + bytes([start // FINGERPRINTS_PER_BROADCAST]),
                b''.join(part),
            )

    def clear(self, fingerprint: bytes) -> None:
        """Broadcast that a suspect ran without a crash."""
        crash_ids = [
            crash_id
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
        ]
        self._publish(_CLEARED, fingerprint, b''.join(crash_ids))
        if fingerprint in self._failed_trials:
            # Replaces the count at nodes that learn of the trials later than
            # the clearing is kept.
            self._publish_failed_trials(fingerprint, 0)

    def _publish_failed_trials(self, fingerprint: bytes, count: int) -> None:
        self._broadcasts.publish(
            Broadcast(
                _TRIAL_FAILED,
                fingerprint,
                count.to_bytes(_COUNT_BYTES),
                TRIAL_RETENTION_S,
            ),
        )

    def _publish(self, topic: str, key: bytes, content: bytes) -> None:
        self._broadcasts.publish(
            Broadcast(topic, key, content, CRASH_RETENTION_S)
        )

    def _on_broadcast(self, broadcast: Broadcast) -> None:
        match broadcast.topic:
            case 'crash':
                # `ttl_s` is the remaining time of the broadcast, which gives
                # the time of the crash on the clock of this node.
                self._add_crash(
                    broadcast.key[:_ID_BYTES],
                    set(_split(broadcast.content, _FINGERPRINT_BYTES)),
                    self._clock() - CRASH_RETENTION_S + broadcast.ttl_s,
                )
            case 'crash_cleared':
                crash_ids = _split(broadcast.content, _ID_BYTES)
                for crash_id in crash_ids:
                    cleared = self._cleared.setdefault(crash_id, set())
                    cleared.add(broadcast.key)
                events.write(
                    SuspectCleared(broadcast.key.hex(), _hex(crash_ids)),
                )
            case 'crash_trial_failed':
                self._set_failed_trials(
                    broadcast.key,
                    int.from_bytes(broadcast.content),
                    broadcast.ttl_s,
                )

    def _set_failed_trials(
        self, fingerprint: bytes, count: int, ttl_s: float
    ) -> None:
        """Set the number of failed trials from a broadcast.

        Its remaining time tells when the latest trial failed.
        """
        if not count:
            self._failed_trials.pop(fingerprint, None)
            return
        expires_at = self._clock() + ttl_s
        refused_s = _refusal_s(count) - TRIAL_RETENTION_S + ttl_s
        self._failed_trials[fingerprint] = _FailedTrials(
            count, self._clock() + refused_s, expires_at
        )
        events.write(
            TrialFailed(fingerprint.hex(), count, round(refused_s, 3)),
        )

    def _add_crash(self, crash_id: bytes, found: set[bytes], at: float) -> None:
        crash = self._crashes.setdefault(crash_id, _Crash(at, set()))
        crash.fingerprints |= found
        events.write(
            CrashLearned(
                crash_id.hex(), round(self._clock() - at, 3), _hex(found)
            ),
        )

    def _crashes_of(self, fingerprint: bytes) -> list[_Crash]:
        """Return the crashes of a fingerprint from which it is not cleared.

        They are copies without the fingerprints that were cleared.
        """
        return [
            _Crash(
                crash.at,
                crash.fingerprints - self._cleared.get(crash_id, set()),
            )
            for crash_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
            and fingerprint not in self._cleared.get(crash_id, set())
        ]

    def _is_on_trial(self, fingerprint: bytes) -> bool:
        """Whether a run of a convicted fingerprint is a trial now."""
        evidence = self.evidence(fingerprint)
        return (
            evidence.verdict is Verdict.suspect
            and evidence.crashes >= CRASH_LIMIT
            and evidence.most_shared < evidence.crashes
        )

    def _is_trial_due(self, crashes: list[_Crash]) -> bool:
        """Whether the conviction by these crashes has expired."""
        newest = max(crash.at for crash in crashes)
        return self._clock() - newest >= CONVICTION_S

    def _expire(self) -> None:
        cutoff = self._clock() - CRASH_RETENTION_S
        expired = [
            key for key, crash in self._crashes.items() if crash.at <= cutoff
        ]
        for crash_id in expired:
            self._crashes.pop(crash_id)
            self._cleared.pop(crash_id, None)
        now = self._clock()
        self._failed_trials = {
            fingerprint: trials
            for fingerprint, trials in self._failed_trials.items()
            if now < trials.expires_at
        }


def _refusal_s(failed_trials: int) -> float:
    """Return the time in seconds from a failed trial to the next one."""
    growth = float(REFUSAL_GROWTH) ** failed_trials
    return min(CONVICTION_S * growth, MAX_REFUSAL_S)


def _most_shared(fingerprint: bytes, crashes: list[_Crash]) -> int:
    """Return in how many of its crashes a fingerprint was with the same one."""
    counts = Counter(found for crash in crashes for found in crash.fingerprints)
    counts.pop(fingerprint)
    return max(counts.values(), default=0)


def _split(content: bytes, size: int) -> list[bytes]:
    starts = range(0, len(content), size)
    return [content[start : start + size] for start in starts]


def _hex(parts: Iterable[bytes]) -> tuple[str, ...]:
    return tuple(part.hex() for part in parts)
