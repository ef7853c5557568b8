"""Plans as commands: what they follow, resends and races."""

from __future__ import annotations

from lycheespar.configuration.changes import (
    ANY_REVISION,
    Command,
    TakeOutDataCentre,
)
from lycheespar.configuration.routes import (
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.control.entries import LogEntry, Proposal
from lycheespar.control.state import (
    Accepted,
    Conflicted,
    GroupState,
    Invalid,
)


def _put(label: int, base: int, service: str = 'a') -> Command:
    services = {service: ServiceProfile(service)}
    change = PutRoutePlan(RoutePlan(label, services=services), base)
    return Command(f'{label}/{base}/{service}', ANY_REVISION, 'op', change)


def _state(*commands: Command) -> GroupState:
    state = GroupState(outcomes={}, history=[])
    for command in commands:
        _apply(state, command)
    return state


def _apply(state: GroupState, command: Command) -> None:
    state.apply(LogEntry(state.index + 1, 1, Proposal(command)))


def test_a_plan_follows_its_base_whatever_else_changed():
    out = Command('x', ANY_REVISION, 'op', TakeOutDataCentre('ijmuiden'))
    state = _state(_put(1, 0), out, _put(5, 1))
    assert state.configuration.plan.label == 5
    assert state.revision == 3


def test_of_two_plans_on_one_base_the_second_loses():
    state = _state(_put(1, 0), _put(2, 1), _put(3, 1, 'b'))
    assert state.configuration.plan.label == 2
    assert isinstance(state.outcomes['3/1/b'], Conflicted)


def test_a_resend_of_an_accepted_plan_is_acknowledged_again():
    state = _state(_put(1, 0), _put(2, 1), _put(7, 2))
    assert state.known_outcome(_put(2, 1)) == Accepted(2)


def test_another_plan_with_a_used_label_is_refused():
    state = _state(_put(1, 0), _put(2, 1))
    assert isinstance(state.known_outcome(_put(2, 1, 'b')), Conflicted)
    assert isinstance(state.known_outcome(_put(2, 2, 'b')), Invalid)


def test_a_plan_on_a_base_to_come_is_decided_by_the_log():
    state = _state(_put(1, 0))
    assert state.known_outcome(_put(9, 4)) is None
    _apply(state, _put(9, 4))
    assert isinstance(state.outcomes['9/4/a'], Conflicted)
