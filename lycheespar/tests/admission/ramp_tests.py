"""Tests of the cold start ramp."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheespar.admission.ramp import ColdStartRamp


def _ramp(slots: int, share: float = 0.2, duration_s: float = 10):
    ramp = ColdStartRamp()
    ramp.configure(slots, share, duration_s)
    ramp.begin_cold_start(0)
    return ramp


@given(
    st.integers(1, 100),
    st.floats(0.01, 1),
    st.lists(st.floats(0, 0.1), max_size=300),
)
def test_the_limit_grows_after_the_cold_start_by_one_per_round(
    slots, share, pauses
):
    ramp = _ramp(slots, share)
    now = 9.0
    rounds = 0.0
    for pause in pauses:
        now += pause
        limit = ramp.limit(now)
        assert 1 <= limit <= ramp.initial_limit + rounds + 1e-6
        assert limit == ramp.initial_limit or now >= 10
        rounds += 1 / limit
        ramp.add_success(now, limit)


def test_time_alone_does_not_raise_the_limit():
    assert _ramp(12).limit(1000) == 2


def test_successes_of_an_idle_target_do_not_raise_the_limit():
    ramp = _ramp(20)
    for _ in range(1000):
        ramp.add_success(1000, 1)
    assert ramp.limit(1000) == 4


def test_successes_and_time_raise_the_limit_to_all_slots():
    ramp = _ramp(12)
    for _ in range(200):
        ramp.add_success(1000, 12)
    assert ramp.limit(1000) == 12


def test_a_restart_and_an_announced_cold_phase_lower_the_limit():
    ramp = _ramp(12)
    for _ in range(200):
        ramp.add_success(1000, 12)
    ramp.update_cold_phase(cold_phase=True)
    assert ramp.limit(1000) == 2
    ramp.update_cold_phase(cold_phase=False)
    ramp.begin_cold_start(1000)
    assert ramp.limit(1005) == 2
