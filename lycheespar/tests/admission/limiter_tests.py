"""Tests of the limit derived from latency and failures."""

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


def _warm_limiter() -> Limiter:
    """Return a limiter after many successful calls of about 10 ms."""
    limiter = _limiter()
    source = random.Random(7)
    for _ in range(1000):
        latency_s = source.gammavariate(4, 0.0025)
        limiter.record_success(CLASS, latency_s, 100, SLOTS)
    return limiter


# Kinds of events: s success, f failure, t time-out, h call shed by the target.
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
                limiter.record_success(CLASS, latency_s, 100, SLOTS)
            case 'f':
                limiter.record_failure(100, SLOTS)
            case 't':
                limiter.record_timeout(CLASS, latency_s, 100, SLOTS)
            case _:
                limiter.back_off()
        assert 1 <= limiter.limit(100) <= SLOTS


def test_latency_noise_does_not_lower_the_limit():
    assert _warm_limiter().limit(100) == SLOTS


def test_the_limit_falls_with_high_latency_and_recovers():
    limiter = _warm_limiter()
    for _ in range(3 * SLOTS):
        limiter.record_success(CLASS, 0.06, 100, SLOTS)
    assert limiter.limit(100) <= SLOTS // 4
    for _ in range(200):
        limiter.record_success(CLASS, 0.01, 100, SLOTS)
    assert limiter.limit(100) == SLOTS


def test_a_sudden_series_of_failures_begins_a_cold_start():
    limiter = _warm_limiter()
    for _ in range(3):
        limiter.record_failure(100, SLOTS)
    assert limiter.is_cold(100)
    assert limiter.limit(100) == SLOTS // 5
    assert limiter.failure_share > 0.2


def test_failures_at_the_usual_rate_do_not_lower_the_limit():
    limiter = _warm_limiter()
    source = random.Random(3)
    for number in range(4000):
        if source.random() < 0.05 and number % 25 == 0:
            limiter.record_failure(100, SLOTS)
        else:
            limiter.record_success(CLASS, 0.01, 100, SLOTS)
    assert limiter.limit(100) == SLOTS


def test_the_limit_stays_initial_while_all_calls_fail():
    limiter = _warm_limiter()
    for second in range(5000):
        limiter.record_failure(100 + second, SLOTS)
    assert limiter.limit(10_000) == SLOTS // 5


def test_timeouts_of_short_deadlines_do_not_count_as_failures():
    limiter = _warm_limiter()
    counted = [
        limiter.record_timeout(CLASS, 0.001, 100, SLOTS) for _ in range(100)
    ]
    assert not any(counted)
    assert limiter.limit(100) == SLOTS
