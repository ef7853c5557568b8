"""Orders of roll-outs as part of the replicated configuration."""

from __future__ import annotations

import msgspec
import pytest

from lycheespar.configuration.changes import apply, find_change_problems
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import (
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.rollouts.order import (
    EndRollout,
    RolloutState,
    StartRollout,
    StepRollout,
)

ORDER = StartRollout('records', 'v2', 16.0)
STEP = StepRollout('records', 'v2', 0.05, 0.5)
SUCCESS = EndRollout('records', 'v2', True, 12.0, 'good')
FAILURE = EndRollout('records', 'v2', False, 4.0, 'bad')


def _configuration(*changes):
    plan = RoutePlan(1, services={'records': ServiceProfile('records')})
    configuration = apply(Configuration(), PutRoutePlan(plan, 0))
    for change in changes:
        configuration = apply(configuration, change)
    return configuration


def _rollout(*changes):
    return _configuration(*changes).rollouts['records']


def test_an_order_runs_without_a_share_at_first():
    rollout = _rollout(ORDER)
    assert rollout.state is RolloutState.running
    assert (rollout.version, rollout.share) == ('v2', 0)


def test_an_order_that_is_sent_again_changes_nothing():
    assert _rollout(ORDER, STEP, ORDER) == _rollout(ORDER, STEP)
    assert _rollout(ORDER, FAILURE, ORDER) == _rollout(ORDER, FAILURE)


@pytest.mark.parametrize(
    ('end', 'state'),
    [
        (SUCCESS, RolloutState.succeeded),
        (FAILURE, RolloutState.rolled_back),
    ],
)
def test_an_end_keeps_its_reason(end, state):
    rollout = _rollout(ORDER, STEP, end)
    assert (rollout.state, rollout.reason) == (state, end.reason)


@pytest.mark.parametrize(
    'change',
    [
        StartRollout('records', 'v3', 16.0),
        StartRollout('records', 'v2', 20.0),
        StartRollout('other', 'v2', 16.0),
        StartRollout('records', '', 16.0),
        StartRollout('records', 'v2', 0),
        StepRollout('records', 'v3', 0.5, 1.0),
    ],
)
def test_an_invalid_order_is_refused_while_another_one_runs(change):
    assert find_change_problems(_configuration(ORDER), change)


def test_a_step_of_a_former_leader_does_not_revive_an_ended_rollout():
    ended = _configuration(ORDER, FAILURE)
    assert find_change_problems(ended, STEP)
    assert find_change_problems(ended, SUCCESS)


def test_a_further_version_may_follow_an_ended_rollout():
    rollout = _rollout(ORDER, SUCCESS, StartRollout('records', 'v3', 16.0))
    assert (rollout.version, rollout.state) == ('v3', RolloutState.running)


def test_rollouts_survive_being_stored():
    stored = msgspec.json.encode(_configuration(ORDER, STEP, FAILURE))
    read = msgspec.json.decode(stored, type=Configuration)
    assert read == _configuration(ORDER, STEP, FAILURE)
