"""Target selection and ejection of outliers."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lycheespar.call import Load
from lycheespar.membership.records import Liveness, Phase
from lycheespar.routing.outliers import MAX_EJECTED_SHARE, split_outliers
from lycheespar.routing.picker import Picker
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.tests.routing.fakes import make_record


def _states(count: int, **changes) -> list[TargetState]:
    table = TargetTable()
    return [
        table.state(make_record(index, **changes)) for index in range(count)
    ]


def _count_choices(states, now: float = 10, times: int = 400) -> Counter[str]:
    picker = Picker('ijmuiden', random.Random(3))
    return Counter(picker.choose(states, now).record.node for _ in range(times))


def test_calls_stay_in_the_data_centre_while_it_has_capacity():
    states = [*_states(2), *_states(4, data_centre='rotterdam')[2:]]
    assert set(_count_choices(states)) == {'node-0', 'node-1'}


def test_calls_spill_over_before_the_local_targets_are_full():
    states = [*_states(2), *_states(4, data_centre='rotterdam')[2:]]
    for state in states[:2]:
        state.update_load(Load(8, 0, 12, 5), 10)
    assert {'node-2', 'node-3'} & set(_count_choices(states))


def test_a_target_that_fails_fast_does_not_attract_calls():
    states = _states(4)
    for state in states[1:]:
        state.update_load(Load(6, 0, 12, 5), 10)
    states[0].update_load(Load(0, 0, 12, 0.1), 10)
    states[0].record_outcome(failed=True, now=10)
    assert _count_choices(states)['node-0'] == 0


def test_a_slow_target_gets_no_calls():
    states = _states(4)
    for state in states:
        state.update_load(Load(2, 0, 12, 5), 10)
    states[0].update_load(Load(2, 0, 12, 50), 10)
    assert _count_choices(states)['node-0'] == 0


def test_an_old_load_report_is_replaced_by_the_average():
    states = _states(2)
    for _ in range(200):
        states[1].update_load(Load(9, 0, 12, 5), 10)
    states[0].update_load(Load(0, 0, 12, 5), 0)
    assert states[0].usage(10) > 0.6


def test_a_cold_target_gets_no_calls_while_others_have_capacity():
    states = [*_states(3), *_states(4, phase=Phase.cold)[3:]]
    for state in states[:3]:
        state.update_load(Load(3, 0, 12, 5), 10)
    assert _count_choices(states)['node-3'] == 0


def test_suspect_targets_are_chosen_only_without_live_ones():
    states = [*_states(1), *_states(3, liveness=Liveness.suspect)[1:]]
    assert set(_count_choices(states)) == {'node-0'}
    assert set(_count_choices(states[1:])) == {'node-1', 'node-2'}


def test_the_backoff_of_a_target_grows_and_is_reset():
    state = _states(1)[0]
    state.start_backoff(0)
    first = state.backoff_until
    state.start_backoff(first)
    assert state.backoff_until - first > first
    state.end_backoff()
    assert state.backoff_until < 0


def test_a_restart_of_a_node_resets_its_target_state():
    table = TargetTable()
    table.state(make_record(0)).record_outcome(failed=True, now=1)
    assert table.state(make_record(0, incarnation=2)).failure_share(1) == 0


@given(st.lists(st.integers(0, 6), min_size=1, max_size=30))
def test_at_most_the_maximum_share_is_ejected(failures):
    states = _states(len(failures))
    for state, count in zip(states, failures, strict=True):
        for _ in range(count):
            state.record_outcome(failed=True, now=5)
    usable, ejected = split_outliers(states, 5)
    assert len(ejected) <= MAX_EJECTED_SHARE * len(states)
    assert len(usable) + len(ejected) == len(states)
