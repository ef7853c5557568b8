"""Roll-outs of good and bad versions, played without a network."""

from __future__ import annotations

import pytest

from lycheespar.tests.rollouts.play import (
    DURATION_S,
    Result,
    Version,
    play,
)

SEEDS = range(40)
# Part of the plays that may end wrongly: an operator repeats a roll-out that
# was rolled back without need, but not every other one.
MAX_WRONG_PART = 0.05

BAD_VERSIONS = {
    'fails at once': Version(bad_part=0.3),
    'fails later': Version(bad_part=0.3, bad_from_s=5),
    'slow at once': Version(bad_part=0.5, slow_ratio=5),
    'slow later': Version(bad_part=0.5, slow_ratio=5, bad_from_s=5),
    'fails on one route': Version(bad_part=0.5, bad_route='booking'),
    'fails under load': Version(bad_part=0.5, bad_from_share=0.25),
}
GOOD_VERSIONS = {
    'equal': (Version(), Version()),
    'on slower hosts': (Version(pace=1.5), Version()),
    # Callers avoid slow hosts of the old version, whose pace they know.
    'on hosts of unknown pace': (
        Version(noise_part=0.15),
        Version(noise_part=0.03),
    ),
    'while the old one fails': (
        Version(usual_failures=0.01),
        Version(bad_part=0.4, bad_from_s=3),
    ),
    'while both fail': (
        Version(usual_failures=0.15),
        Version(usual_failures=0.15),
    ),
}


def _results(new: Version, *others: Version) -> list[Result]:
    return [play(seed, new, *others) for seed in SEEDS]


@pytest.mark.parametrize('kind', BAD_VERSIONS)
def test_a_bad_version_is_rolled_back_before_too_many_calls_meet_it(kind):
    results = _results(BAD_VERSIONS[kind])
    missed = [result for result in results if result.succeeded]
    assert len(missed) <= MAX_WRONG_PART * len(results)
    assert all(result.exposed <= result.allowed for result in results)


@pytest.mark.parametrize('kind', GOOD_VERSIONS)
def test_a_good_version_succeeds_by_the_deadline(kind):
    results = _results(*GOOD_VERSIONS[kind])
    late = [
        result
        for result in results
        if not result.succeeded or result.ended_s > DURATION_S
    ]
    assert len(late) <= MAX_WRONG_PART * len(results)


def test_calls_do_not_move_to_targets_that_are_still_cold():
    warm_from_s = 10
    result = play(
        1, Version(), capacity=lambda now: 0.9 if now >= warm_from_s else 0.1
    )
    assert result.succeeded
    assert result.ended_s > warm_from_s


def test_a_version_without_enough_targets_is_rolled_back_at_the_deadline():
    result = play(1, Version(), capacity=lambda now: 0.1)
    assert not result.succeeded
    assert result.ended_s == DURATION_S


def test_a_version_that_is_better_while_the_old_one_is_ill_is_not_blamed():
    ill = Version(bad_part=0.6, slow_ratio=6, bad_from_s=2)
    assert play(3, Version(), ill).succeeded
