"""Tests of the limit that follows latency and failures."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from lycheespar.admission.limiter import GateLimits, Limiter

SLOTS = 20
CLASS = 'default'


def _limiter() -> Limiter:
    limiter = Limiter()
    limiter.configure(GateLimits(SLOTS, 32, cold_share=0.2, cold_start_s=10))
    return limiter


def _warm() -> Limiter:
    """Return a limiter whose target has answered many calls in 10 ms."""
    limiter = _limiter()
    source = random.Random(7)
    for _ in range(1000):
        latency_s = source.gammavariate(4, 0.0025)
        limiter.succeeded(CLASS, latency_s, 100, SLOTS)
    return limiter


@given(
    st.lists(
        st.tuples(st.sampled_from('sfth'), st.floats(0.0001, 10)),
        max_size=200,
    ),
)
def test_the_limit_stays_between_1_and_the_slots(events):
    limiter = _limiter()
    for kind, latency_s in events:
        match kind:
            case 's':
                limiter.succeeded(CLASS, latency_s, 100, SLOTS)
            case 'f':
                limiter.failed(100, SLOTS)
            case 't':
                limiter.timed_out(CLASS, latency_s, 100, SLOTS)
            case _:
                limiter.shed()
        assert 1 <= limiter.limit(100) <= SLOTS


def test_noise_of_a_steady_target_leaves_all_slots():
    assert _warm().limit(100) == SLOTS


def test_a_slow_target_gets_less_at_once_and_all_when_it_is_quick_again():
    limiter = _warm()
    for _ in range(3 * SLOTS):
        limiter.succeeded(CLASS, 0.06, 100, SLOTS)
    assert limiter.limit(100) <= SLOTS // 4
    for _ in range(200):
        limiter.succeeded(CLASS, 0.01, 100, SLOTS)
    assert limiter.limit(100) == SLOTS


def test_a_sudden_series_of_failures_begins_a_cold_start():
    limiter = _warm()
    for _ in range(3):
        limiter.failed(100, SLOTS)
    assert limiter.is_cold(100)
    assert limiter.limit(100) == SLOTS // 5
    assert limiter.failure_share > 0.2


def test_failures_at_their_usual_rate_leave_all_slots():
    limiter = _warm()
    source = random.Random(3)
    for number in range(4000):
        if source.random() < 0.05 and number % 25 == 0:
            limiter.failed(100, SLOTS)
        else:
            limiter.succeeded(CLASS, 0.01, 100, SLOTS)
    assert limiter.limit(100) == SLOTS


def test_a_target_that_only_fails_never_gets_beyond_its_start():
    limiter = _warm()
    for second in range(5000):
        limiter.failed(100 + second, SLOTS)
    assert limiter.limit(10_000) == SLOTS // 5


def test_calls_with_a_short_deadline_are_not_held_against_the_target():
    limiter = _warm()
    blamed = [limiter.timed_out(CLASS, 0.001, 100, SLOTS) for _ in range(100)]
    assert not any(blamed)
    assert limiter.limit(100) == SLOTS
