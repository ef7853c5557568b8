"""Decides whether a new version is worse than the one in service.

The load that this answers: a roll-out on which a few percent of a service's
requests go to the new version, while hosts are noisy and other faults happen.
For each route, and for all together, a cumulative sum (CUSUM) of the
log-likelihood ratio compares two shares of the new version with those of the
old version in the same seconds: failures, and slow answers. A sum never falls
below 0, so a version that turns bad later is found as fast as one that is bad
at once.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from typing import Final

import msgspec

from lycheespar.rollouts.evidence import (
    BUCKET_RATIO,
    Histogram,
    RouteEvidence,
)

# Sum at which a version is bad. It is the logarithm of the odds against one
# route of a good version reaching it at a given answer.
BAD_SUM: Final = 12.0
# Largest change of a sum by one call. One call must not decide, and a rare
# event at the old version has no exact share.
MAX_STEP: Final = 2.0
# Additional shares of failures and of slow answers that make a version bad.
BAD_FAILURES: Final = 0.15
BAD_SLOWNESS: Final = 0.35
# Least shares that the old version is assumed to have, as its counts are small.
MIN_FAILURES: Final = 0.02
MIN_SLOWNESS: Final = 0.1
# Answers above this multiple of the old version's median on the route are slow.
SLOW_RATIO: Final = 3.0
# Largest shares that the old version is assumed to have, so that a bad version
# still differs from an old one that is ill.
MAX_BASELINE: Final = 0.7
# Answers of the old version on a route from which its median is known.
MIN_BASELINE_ANSWERS: Final = 30
# Factor by which the counts of the old version are reduced at each update, so
# that they describe the present seconds.
BASELINE_DECAY: Final = 0.95
# Difference of two sums of the same counts that is due to rounding.
ROUNDING_ERROR: Final = 1e-6
_SLOW_BUCKETS: Final = round(math.log(SLOW_RATIO, BUCKET_RATIO))
_ALL_ROUTES: Final = '*'


class Judgement(msgspec.Struct, frozen=True):
    """Verdict on the new version.

    Attributes
    ----------
    bad : bool
        Whether the version is worse than the old one.
    reason : str
        The evidence, for the operator.
    answers : int
        Calls of the new version that were judged so far.
    """

    bad: bool = False
    reason: str = ''
    answers: int = 0


class VersionJudge:
    """Compares a new version with the old one as evidence comes in."""

    __slots__ = ('_answers', '_bad_reason', '_baseline', '_sums')

    def __init__(self) -> None:
        """Create a judge without evidence."""
        self._baseline: dict[str, _Baseline] = {}
        self._sums: dict[tuple[str, str], float] = {}
        self._answers = 0
        self._bad_reason = ''

    @property
    def judgement(self) -> Judgement:
        """Verdict on the evidence so far; a bad version stays bad."""
        return Judgement(
            bool(self._bad_reason), self._bad_reason, self._answers
        )

    def update(
        self,
        new: Mapping[str, RouteEvidence],
        old: Mapping[str, RouteEvidence],
    ) -> Judgement:
        """Add the calls of both versions since the last update.

        Parameters
        ----------
        new, old : Mapping[str, RouteEvidence]
            Calls of the new and of the old version, by route.
        """
        for baseline in self._baseline.values():
            baseline.decay()
        for route, found in old.items():
            self._baseline.setdefault(route, _Baseline()).add(found)
        for route, found in new.items():
            self._judge_route(route, found)
        return self.judgement

    def _judge_route(self, route: str, found: RouteEvidence) -> None:
        baseline = self._baseline.get(route, _Baseline())
        answered = sum(found.answered.values())
        self._answers += answered + found.failures
        self._add(
            route,
            'failures',
            found.failures,
            answered,
            (baseline.failure_share, BAD_FAILURES),
        )
        limit = baseline.slow_bucket
        if limit is None:
            return
        slow = _count_from(found.answered, limit)
        self._add(
            route,
            'slow answers',
            slow + _count_from(found.abandoned, limit),
            answered - slow,
            (baseline.slow_share, BAD_SLOWNESS),
        )

    def _add(
        self,
        route: str,
        kind: str,
        bad: int,
        good: int,
        shares: tuple[float, float],
    ) -> None:
        """Add calls to the sums of a kind of badness.

        Parameters
        ----------
        route : str
            Route of the calls.
        kind : str
            What is compared.
        bad, good : int
            Calls of the new version with and without it.
        shares : tuple[float, float]
            Share of bad calls at the old version, and the share of all other
            calls that a bad version has in addition.
        """
        usual, added = shares
        increased = usual + (1 - usual) * added
        step = bad * min(math.log(increased / usual), MAX_STEP)
        step += good * math.log((1 - increased) / (1 - usual))
        for scope in (route, _ALL_ROUTES):
            changed = max(self._sums.get((scope, kind), 0) + step, 0)
            self._sums[scope, kind] = changed
            if changed >= BAD_SUM and not self._bad_reason:
                self._bad_reason = (
                    f"more {kind} on route '{route}' than the version in "
                    f'service: {bad} of {bad + good} calls in the latest '
                    f'report, where {usual:.0%} are usual'
                )


class _Baseline:
    """Recent calls of the old version on one route."""

    __slots__ = ('_answered', '_failures', '_slow_bucket')

    def __init__(self) -> None:
        self._failures = 0.0
        self._answered: dict[int, float] = {}
        self._slow_bucket: int | None = None

    @property
    def failure_share(self) -> float:
        """Share of failures, 0 to 1."""
        calls = self._failures + sum(self._answered.values())
        share = self._failures / calls if calls else 0
        return min(max(share, MIN_FAILURES), MAX_BASELINE)

    @property
    def slow_bucket(self) -> int | None:
        """First bucket of slow answers; None before the median is known."""
        total = sum(self._answered.values())
        if total >= MIN_BASELINE_ANSWERS:
            self._slow_bucket = (
                _median_bucket(self._answered, total) + _SLOW_BUCKETS
            )
        return self._slow_bucket

    @property
    def slow_share(self) -> float:
        """Share of slow answers, 0 to 1."""
        limit = self.slow_bucket
        total = sum(self._answered.values())
        if limit is None or not total:
            return MAX_BASELINE
        slow = sum(
            count for bucket, count in self._answered.items() if bucket >= limit
        )
        return min(max(slow / total, MIN_SLOWNESS), MAX_BASELINE)

    def add(self, found: RouteEvidence) -> None:
        """Add calls of the old version."""
        self._failures += found.failures
        for bucket, count in found.answered.items():
            self._answered[bucket] = self._answered.get(bucket, 0) + count

    def decay(self) -> None:
        """Reduce the weight of all earlier calls."""
        self._failures *= BASELINE_DECAY
        self._answered = {
            bucket: count * BASELINE_DECAY
            for bucket, count in self._answered.items()
        }


def _count_from(histogram: Histogram, first: int) -> int:
    return sum(count for bucket, count in histogram.items() if bucket >= first)


def _median_bucket(histogram: Mapping[int, float], total: float) -> int:
    buckets = sorted(histogram)
    counted = itertools.accumulate(histogram[bucket] for bucket in buckets)
    return next(
        bucket
        for bucket, count in zip(buckets, counted, strict=True)
        if 2 * count >= total - ROUNDING_ERROR
    )
