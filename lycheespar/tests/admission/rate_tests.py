"""Tests of the limit on the rate of calls to a cold target."""

from __future__ import annotations

from lycheespar.admission.rate import ColdRateLimit

CALLS_PER_S = 35


def _ignore() -> None:
    """Ignore the notification."""


def _send_calls(rate: ColdRateLimit, start: float, end: float) -> list[float]:
    """Send as many calls as the limit allows, checked every millisecond."""
    times = []
    for step in range(int((end - start) * 1000)):
        now = start + step / 1000
        while not rate.wait_s(now) and len(times) < 5000:
            rate.record(now)
            times.append(now)
            if not rate.is_cold(now):
                break
    return times


def _max_in_a_second(times: list[float]) -> int:
    return max(
        sum(1 for other in times if start <= other < start + 1)
        for start in times
    )


def test_a_cold_target_gets_at_most_its_rate_in_any_second():
    rate = ColdRateLimit(_ignore)
    rate.configure(CALLS_PER_S)
    rate.treat_as_cold(100)
    assert _max_in_a_second(_send_calls(rate, 0, 4)) <= CALLS_PER_S


def test_calls_sent_before_the_target_turned_cold_count():
    rate = ColdRateLimit(_ignore)
    rate.configure(CALLS_PER_S)
    warm = _send_calls(rate, 0, 1)
    rate.treat_as_cold(100)
    assert len(warm) > 2 * CALLS_PER_S
    assert not [at for at in _send_calls(rate, 1, 4) if at < 2]


def test_a_warm_target_has_no_rate_limit():
    rate = ColdRateLimit(_ignore)
    rate.configure(CALLS_PER_S)
    rate.treat_as_cold(1)
    for _ in range(5 * CALLS_PER_S):
        rate.record(1.5)
    assert rate.wait_s(1.5) == 0


def test_a_service_without_a_rate_has_no_limit():
    rate = ColdRateLimit(_ignore)
    rate.treat_as_cold(100)
    for _ in range(100):
        rate.record(1)
    assert rate.wait_s(1) == 0
