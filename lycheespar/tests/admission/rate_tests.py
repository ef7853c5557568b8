"""Bound on the calls that a cold target gets in a second."""

from __future__ import annotations

from lycheespar.admission.rate import ColdRate

PER_S = 35


def _nothing() -> None:
    """Ignore that the bound opens."""


def _admitted(rate: ColdRate, start: float, end: float) -> list[float]:
    """Admit as many calls as the rate allows, looking each millisecond."""
    times = []
    for step in range(int((end - start) * 1000)):
        now = start + step / 1000
        while not rate.wait_s(now) and len(times) < 5000:
            rate.count(now)
            times.append(now)
            if not rate.is_cold(now):
                break
    return times


def _most_in_a_second(times: list[float]) -> int:
    return max(
        sum(1 for other in times if start <= other < start + 1)
        for start in times
    )


def test_a_cold_target_gets_its_rate_in_any_second():
    rate = ColdRate(_nothing)
    rate.configure(PER_S)
    rate.set_cold(100)
    assert _most_in_a_second(_admitted(rate, 0, 4)) <= PER_S


def test_what_came_before_the_target_turned_cold_counts():
    rate = ColdRate(_nothing)
    rate.configure(PER_S)
    warm = _admitted(rate, 0, 1)
    rate.set_cold(100)
    assert len(warm) > 2 * PER_S
    assert not [at for at in _admitted(rate, 1, 4) if at < 2]


def test_a_warm_target_has_no_bound():
    rate = ColdRate(_nothing)
    rate.configure(PER_S)
    rate.set_cold(1)
    for _ in range(5 * PER_S):
        rate.count(1.5)
    assert rate.wait_s(1.5) == 0


def test_a_service_without_a_rate_has_no_bound():
    rate = ColdRate(_nothing)
    rate.set_cold(100)
    for _ in range(100):
        rate.count(1)
    assert rate.wait_s(1) == 0
