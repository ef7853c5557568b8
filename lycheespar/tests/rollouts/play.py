"""Plays roll-outs of good and bad versions without a network."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import msgspec

from lycheespar.rollouts.evidence import RouteEvidence, bucket_of
from lycheespar.rollouts.order import (
    EndRollout,
    Rollout,
    StepRollout,
    apply_rollout_change,
)
from lycheespar.rollouts.schedule import Progress, next_change
from lycheespar.rollouts.verdict import VersionJudge

TICK_S: Final = 0.25
# Ticks from a change until nodes act on it and evidence of it has arrived.
LAG_TICKS: Final = 2
DURATION_S: Final = 16.0
EXPOSURE_SHARE: Final = 0.1
EXPOSURE_SLACK: Final = 50
# Hosts are slower by this factor for this part of the time.
NOISE_RATIO, NOISE_PART = 5.0, 0.25
# Calls per second and mean work in milliseconds of each route.
ROUTES: Final = {'lookup': (163, 60.0), 'booking': (141, 78.0)}


class Version(msgspec.Struct, frozen=True):
    """How a version behaves.

    Attributes
    ----------
    bad_part : float
        Part of the answers that are bad, 0 to 1.
    slow_ratio : float
        Factor by which bad answers are late; 0 for failures.
    bad_from_s : float
        Time in seconds from which the version is bad.
    bad_from_share : float
        Share of the calls from which the version is bad.
    bad_route : str
        Only route on which it is bad; empty for all.
    pace : float
        Factor by which all answers take longer.
    usual_failures : float
        Part of the answers that fail at any version.
    noise_part : float
        Part of the answers that hosts make late.
    """

    bad_part: float = 0.0
    slow_ratio: float = 0.0
    bad_from_s: float = 0.0
    bad_from_share: float = 0.0
    bad_route: str = ''
    pace: float = 1.0
    usual_failures: float = 0.004
    noise_part: float = NOISE_PART

    def is_bad(self, route: str, now: float, share: float) -> bool:
        """Whether answers on a route may be bad now."""
        return (
            self.bad_part > 0
            and now >= self.bad_from_s
            and share >= self.bad_from_share
            and self.bad_route in {'', route}
        )


class Result(msgspec.Struct, frozen=True):
    """What came of a roll-out.

    Attributes
    ----------
    succeeded : bool
        Whether all calls moved to the new version.
    ended_s : float
        Time in seconds from the order to the end.
    exposed, calls : int
        Calls that the new version got, and all until the deadline.
    """

    succeeded: bool
    ended_s: float
    exposed: int
    calls: int

    @property
    def allowed(self) -> float:
        """Calls that a bad version may get."""
        return EXPOSURE_SHARE * self.calls + EXPOSURE_SLACK


def play(
    seed: int,
    new: Version,
    old: Version = Version(),  # noqa: B008 (immutable)
    capacity: Callable[[float], float] = lambda now: 1.0,
) -> Result:
    """Play one roll-out and return what came of it.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    new, old : Version
        How the versions behave.
    capacity : Callable[[float], float]
        Slots of warm new targets, as a share of the old ones, by the time.
    """
    source = random.Random(seed)
    judge = VersionJudge()
    rollout = Rollout('records', 'v2', DURATION_S)
    shares = [0.0] * LAG_TICKS
    held_since = 0.0
    exposed = 0
    for tick in range(int(DURATION_S * 4 / TICK_S)):
        now = tick * TICK_S
        share = shares[-LAG_TICKS]
        new_calls = {
            route: _count(source, rate * share)
            for route, (rate, _) in ROUTES.items()
        }
        if now < DURATION_S:
            exposed += sum(new_calls.values())
        judgement = judge.update(
            {
                route: _run(source, new, route, count, (now, share))
                for route, count in new_calls.items()
            },
            {
                route: _run(
                    source,
                    old,
                    route,
                    _count(source, rate * (1 - share)),
                    (now, 1 - share),
                )
                for route, (rate, _) in ROUTES.items()
            },
        )
        held_s = now - held_since
        confirmed_s = held_s if rollout.share >= 1 else 0
        progress = Progress(now, held_s, confirmed_s, capacity(now), judgement)
        change = next_change(rollout, progress, EXPOSURE_SHARE)
        if isinstance(change, EndRollout):
            return Result(change.succeeded, now, exposed, _calls())
        if isinstance(change, StepRollout):
            rollout = apply_rollout_change({'records': rollout}, change)[
                'records'
            ]
            held_since = now
        shares.append(rollout.share)
    raise AssertionError('the roll-out did not end')


def _calls() -> int:
    return int(DURATION_S * sum(rate for rate, _ in ROUTES.values()))


def _count(source: random.Random, per_s: float) -> int:
    expected = per_s * TICK_S
    return int(expected) + (source.random() < expected % 1)


def _run(
    source: random.Random,
    version: Version,
    route: str,
    count: int,
    now_and_share: tuple[float, float],
) -> RouteEvidence:
    found = RouteEvidence()
    is_bad = version.is_bad(route, *now_and_share)
    for _ in range(count):
        bad = is_bad and source.random() < version.bad_part
        if (bad and not version.slow_ratio) or (
            source.random() < version.usual_failures
        ):
            found.failures += 1
            continue
        latency_ms = ROUTES[route][1] * source.lognormvariate(0, 0.3)
        latency_ms *= version.pace * (version.slow_ratio if bad else 1)
        if source.random() < version.noise_part:
            latency_ms *= NOISE_RATIO
        bucket = bucket_of(latency_ms)
        found.answered[bucket] = found.answered.get(bucket, 0) + 1
    return found
