"""Tests of crash suspects and of their conviction."""

from __future__ import annotations

import pytest

from lycheespar.admission.suspects import (
    CONVICTION_S,
    CRASH_RETENTION_S,
    SuspectTable,
    Verdict,
)
from lycheespar.membership.broadcast import BroadcastTable

# Crashes of a request, and the retries that may reach targets after them.
CRASHES_BEFORE_RETRIES, MAX_RETRIES = 3, 3
CRASHING, HARMLESS, UNRELATED = b'k' * 16, b'i' * 16, b'o' * 16


class _Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def table(clock):
    return SuspectTable(BroadcastTable(clock), clock)


def test_all_requests_running_at_a_crash_become_suspects(table):
    table.report([CRASHING, HARMLESS])
    assert table.verdict(CRASHING) is Verdict.suspect
    assert table.verdict(HARMLESS) is Verdict.suspect
    assert table.verdict(UNRELATED) is Verdict.clear


def test_the_only_request_in_two_crashes_is_convicted(table):
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING, UNRELATED])
    assert table.verdict(CRASHING) is Verdict.convicted
    assert table.verdict(HARMLESS) is Verdict.suspect


def test_two_requests_in_the_same_two_crashes_stay_suspects(table):
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING, HARMLESS])
    assert table.verdict(CRASHING) is Verdict.suspect
    assert table.verdict(HARMLESS) is Verdict.suspect


@pytest.mark.parametrize('last', [(), (UNRELATED,)])
def test_a_crash_without_its_company_convicts_a_request(table, last):
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING, *last])
    assert table.verdict(CRASHING) is Verdict.convicted
    assert table.verdict(HARMLESS) is Verdict.suspect


def test_clearing_one_of_two_suspects_convicts_the_other(table):
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING, HARMLESS])
    table.clear(HARMLESS)
    assert table.verdict(HARMLESS) is Verdict.clear
    assert table.verdict(CRASHING) is Verdict.convicted


def test_a_crash_after_clearing_makes_a_suspect_again(table):
    table.report([HARMLESS])
    table.clear(HARMLESS)
    table.report([HARMLESS])
    assert table.verdict(HARMLESS) is Verdict.suspect


def test_a_conviction_turns_into_suspicion_and_then_expires(table, clock):
    table.report([CRASHING])
    table.report([CRASHING])
    assert table.retry_after_s(CRASHING) == CONVICTION_S
    clock.now += CONVICTION_S
    assert table.verdict(CRASHING) is Verdict.suspect
    clock.now += CRASH_RETENTION_S - CONVICTION_S
    assert table.verdict(CRASHING) is Verdict.clear


def test_a_crash_during_a_trial_convicts_again(table, clock):
    table.report([CRASHING])
    table.report([CRASHING])
    clock.now += CONVICTION_S
    table.report([CRASHING])
    assert table.verdict(CRASHING) is Verdict.convicted


def test_a_request_that_comes_for_many_minutes_ends_few_targets(table, clock):
    crashes = 0
    for _ in range(1800):
        clock.now += 1
        if table.verdict(CRASHING) is not Verdict.convicted:
            table.report([CRASHING])
            crashes += 1
    assert crashes <= CRASHES_BEFORE_RETRIES + MAX_RETRIES


def _fail_trials(table, clock, count):
    """Convict a request and crash its target in so many trials."""
    table.report([CRASHING])
    table.report([CRASHING])
    for _ in range(count):
        clock.now += table.retry_after_s(CRASHING)
        assert table.verdict(CRASHING) is Verdict.suspect
        table.report([CRASHING])


def test_each_failed_trial_lengthens_the_time_until_the_next_one(table, clock):
    _fail_trials(table, clock, 1)
    first = table.retry_after_s(CRASHING)
    clock.now += first
    table.report([CRASHING])
    assert table.retry_after_s(CRASHING) > first > CONVICTION_S


def test_a_trial_that_succeeds_ends_a_long_conviction(table, clock):
    _fail_trials(table, clock, 2)
    clock.now += table.retry_after_s(CRASHING)
    table.clear(CRASHING)
    assert table.verdict(CRASHING) is Verdict.clear


def test_a_harmless_request_beside_a_failed_trial_is_not_convicted(
    table, clock
):
    _fail_trials(table, clock, 1)
    clock.now += table.retry_after_s(CRASHING)
    table.report([CRASHING, HARMLESS])
    assert table.verdict(HARMLESS) is Verdict.suspect


def test_a_node_that_starts_late_learns_of_failed_trials_and_clearings(
    clock,
):
    broadcasts = BroadcastTable(clock)
    table = SuspectTable(broadcasts, clock)
    _fail_trials(table, clock, 2)
    clock.now += CRASH_RETENTION_S
    late = _copy_of(broadcasts, clock)
    assert late.verdict(CRASHING) is Verdict.convicted
    assert late.retry_after_s(CRASHING) == table.retry_after_s(CRASHING)
    clock.now += table.retry_after_s(CRASHING)
    table.clear(CRASHING)
    clock.now += CRASH_RETENTION_S
    assert _copy_of(broadcasts, clock).verdict(CRASHING) is Verdict.clear


def _copy_of(broadcasts, clock):
    """Return the table of a node that receives all broadcasts now."""
    received = BroadcastTable(clock)
    table = SuspectTable(received, clock)
    for broadcast in broadcasts.current:
        received.receive(broadcast)
    return table


def test_many_fingerprints_are_split_over_several_broadcasts(table):
    many = [bytes([number]) * 16 for number in range(60)]
    table.report(many)
    assert {table.verdict(found) for found in many} == {Verdict.suspect}


def test_crashes_and_clearings_are_broadcast_to_other_nodes(clock):
    local_broadcasts, remote_broadcasts = (
        BroadcastTable(clock),
        BroadcastTable(clock),
    )
    table, remote_table = (
        SuspectTable(local_broadcasts, clock),
        SuspectTable(remote_broadcasts, clock),
    )
    table.report([CRASHING, HARMLESS])
    table.report([CRASHING])
    table.clear(HARMLESS)
    clock.now += 5
    for broadcast in local_broadcasts.current:
        remote_broadcasts.receive(broadcast)
    assert remote_table.verdict(CRASHING) is Verdict.convicted
    assert remote_table.verdict(HARMLESS) is Verdict.clear
    assert remote_table.retry_after_s(CRASHING) == CONVICTION_S - 5
