"""Which requests a stopping node takes, without a network."""

from __future__ import annotations

import pytest

from lycheespar.errors import DrainingError
from lycheespar.ingress.stop_admission import WINDOW_S, StopAdmission

STOP_S = 6.0


@pytest.fixture
def admission():
    """Return the admission of a node that has answered short requests."""
    created = StopAdmission()
    created.record('short', 0.2, -1)
    created.record('long', 3.3, -1)
    return created


def _is_taken(
    admission: StopAdmission, request_class: str, now: float, limit_s: float
) -> bool:
    try:
        admission.check(request_class, now + limit_s, now)
    except DrainingError:
        return False
    return True


def test_a_node_that_does_not_stop_takes_all_requests(admission):
    """Deadlines must not matter before a stop."""
    assert _is_taken(admission, 'unknown', 0, 1000)


def test_a_request_whose_deadline_is_within_the_stop_is_taken(admission):
    """A planned stop must not refuse what it can finish."""
    admission.begin(0, STOP_S)
    assert _is_taken(admission, 'unknown', 4.4, 1.5)
    assert not _is_taken(admission, 'unknown', 4.6, 1.5)


def test_a_request_that_may_outlast_the_stop_is_refused(admission):
    """It would be cut off at the end of the stop while a target runs it."""
    admission.begin(0, STOP_S)
    assert not _is_taken(admission, 'long', 0.1, 10)
    assert not _is_taken(admission, 'long', 3.1, 10)
    assert not _is_taken(admission, 'short', 5.7, 10)


def test_a_request_that_is_usually_short_is_taken(admission):
    """Its caller may have no other node to turn to."""
    admission.begin(0, STOP_S)
    assert _is_taken(admission, 'short', 1, 10)
    assert _is_taken(admission, 'short', 5.5, 10)


def test_a_request_of_a_class_without_answers_is_refused(admission):
    """Nothing tells whether it would be finished."""
    admission.begin(0, STOP_S)
    assert not _is_taken(admission, 'unknown', 0.1, 10)


def test_a_refused_request_learns_when_the_stop_ends(admission):
    """A caller that uses this node alone must not come back during the stop."""
    admission.begin(0, STOP_S)
    with pytest.raises(DrainingError) as refusal:
        admission.check('long', 100, 2)
    assert refusal.value.retry_after_s == pytest.approx(4)


def test_long_durations_are_forgotten(admission):
    """One slow request must not get its class refused for good."""
    for window in range(1, 4):
        admission.record('long', 0.1, window * (WINDOW_S + 1))
    admission.begin(4 * WINDOW_S, STOP_S)
    assert _is_taken(admission, 'long', 4 * WINDOW_S + 1, 10)


def test_requests_that_arrive_once_connections_are_closed_are_refused(
    admission,
):
    """Without an answer, their callers could not know that they did not run."""
    admission.begin(0, STOP_S)
    admission.close(4)
    admission.check_arrival(3.9, 4.5)
    with pytest.raises(DrainingError) as caught:
        admission.check_arrival(4, 4.5)
    assert caught.value.retry_after_s == 1.5
