"""Route plans as commands: base labels, resends and concurrent plans."""

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
from lycheespar.control.state.entries import LogEntry, Proposal
from lycheespar.control.state.state import (
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


def test_plan_is_accepted_after_its_base_despite_other_changes():
    out = Command('x', ANY_REVISION, 'op', TakeOutDataCentre('ijmuiden'))
    state = _state(_put(1, 0), out, _put(5, 1))
    assert state.configuration.plan.label == 5
    assert state.revision == 3


def test_second_plan_on_the_same_base_conflicts():
    state = _state(_put(1, 0), _put(2, 1), _put(3, 1, 'b'))
    assert state.configuration.plan.label == 2
    assert isinstance(state.outcomes['3/1/b'], Conflicted)


def test_resent_plan_has_its_first_outcome():
    state = _state(_put(1, 0), _put(2, 1), _put(7, 2))
    assert state.known_outcome(_put(2, 1)) == Accepted(2)


def test_other_plan_with_a_used_label_is_rejected():
    state = _state(_put(1, 0), _put(2, 1))
    assert isinstance(state.known_outcome(_put(2, 1, 'b')), Conflicted)
    assert isinstance(state.known_outcome(_put(2, 2, 'b')), Invalid)


def test_plan_on_an_unknown_base_conflicts_when_it_is_applied():
    state = _state(_put(1, 0))
    assert state.known_outcome(_put(9, 4)) is None
    _apply(state, _put(9, 4))
    assert isinstance(state.outcomes['9/4/a'], Conflicted)
