"""Crashes make suspects; two of them convict what alone was in both."""

from __future__ import annotations

import pytest

from lycheespar.admission.suspects import (
    CONVICTED_S,
    SUSPECT_S,
    SuspectTable,
    Verdict,
)
from lycheespar.membership.broadcast import BroadcastTable

KILLER, INNOCENT, OTHER = b'k' * 16, b'i' * 16, b'o' * 16


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


def test_a_crash_makes_suspects_of_all_that_ran(table):
    table.report([KILLER, INNOCENT])
    assert table.verdict(KILLER) is Verdict.suspect
    assert table.verdict(INNOCENT) is Verdict.suspect
    assert table.verdict(OTHER) is Verdict.clear


def test_two_crashes_convict_what_alone_was_in_both(table):
    table.report([KILLER, INNOCENT])
    table.report([KILLER, OTHER])
    assert table.verdict(KILLER) is Verdict.convicted
    assert table.verdict(INNOCENT) is Verdict.suspect


def test_two_that_were_in_both_crashes_stay_suspects(table):
    table.report([KILLER, INNOCENT])
    table.report([KILLER, INNOCENT])
    assert table.verdict(KILLER) is Verdict.suspect
    assert table.verdict(INNOCENT) is Verdict.suspect


def test_a_successful_run_clears_the_innocent_and_convicts_the_other(table):
    table.report([KILLER, INNOCENT])
    table.report([KILLER, INNOCENT])
    table.clear(INNOCENT)
    assert table.verdict(INNOCENT) is Verdict.clear
    assert table.verdict(KILLER) is Verdict.convicted


def test_a_crash_after_the_clearing_counts_again(table):
    table.report([INNOCENT])
    table.clear(INNOCENT)
    table.report([INNOCENT])
    assert table.verdict(INNOCENT) is Verdict.suspect


def test_a_convicted_one_gets_a_trial_and_is_forgotten_later(table, clock):
    table.report([KILLER])
    table.report([KILLER])
    assert table.retry_after_s(KILLER) == CONVICTED_S
    clock.now += CONVICTED_S
    assert table.verdict(KILLER) is Verdict.suspect
    clock.now += SUSPECT_S - CONVICTED_S
    assert table.verdict(KILLER) is Verdict.clear


def test_a_failed_trial_convicts_again(table, clock):
    table.report([KILLER])
    table.report([KILLER])
    clock.now += CONVICTED_S
    table.report([KILLER])
    assert table.verdict(KILLER) is Verdict.convicted


def test_many_fingerprints_are_told_in_parts_of_one_crash(table):
    many = [bytes([number]) * 16 for number in range(60)]
    table.report(many)
    assert {table.verdict(found) for found in many} == {Verdict.suspect}


def test_other_nodes_learn_of_crashes_and_clearings(clock):
    here, there = BroadcastTable(clock), BroadcastTable(clock)
    table, other = SuspectTable(here, clock), SuspectTable(there, clock)
    table.report([KILLER, INNOCENT])
    table.report([KILLER])
    table.clear(INNOCENT)
    clock.now += 5
    for fact in here.current:
        there.receive(fact)
    assert other.verdict(KILLER) is Verdict.convicted
    assert other.verdict(INNOCENT) is Verdict.clear
    assert other.retry_after_s(KILLER) == CONVICTED_S - 5
