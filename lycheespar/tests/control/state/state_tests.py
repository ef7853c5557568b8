"""Replicated state: outcomes, history and snapshots."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lycheespar.control.state import state as state_module
from lycheespar.control.state.entries import LogEntry, Proposal
from lycheespar.control.state.state import Accepted, GroupState
from lycheespar.tests.control.agreement.groups import command, large_command

_commands = st.tuples(st.integers(0, 12), st.integers(0, 6))


def _apply(state: GroupState, commands: list[tuple[int, int]]) -> None:
    for change, base in commands:
        content = Proposal(command(str(change), base))
        state.apply(LogEntry(state.index + 1, 1, content))


@given(commands=st.lists(_commands, max_size=40), split=st.integers(0, 40))
def test_state_from_a_snapshot_equals_state_from_the_whole_log(commands, split):
    complete, prefix = GroupState(), GroupState()
    _apply(complete, commands)
    _apply(prefix, commands[:split])
    stored = msgspec.msgpack.encode(prefix)
    restored = msgspec.msgpack.decode(stored, type=GroupState)
    _apply(restored, commands[split:])
    assert restored == complete


@given(commands=st.lists(_commands, max_size=40))
def test_change_id_keeps_its_first_outcome(commands):
    state = GroupState()
    outcomes: dict[str, object] = {}
    for change, base in commands:
        known = state.known_outcome(command(str(change), base))
        _apply(state, [(change, base)])
        outcome = state.outcomes[str(change)]
        assert outcomes.setdefault(str(change), outcome) == outcome
        assert known is None or isinstance(known, type(outcome))
    made = [found for found in outcomes.values() if isinstance(found, Accepted)]
    assert len(made) == state.revision == len(state.history)


@given(commands=st.lists(_commands, max_size=40), revision=st.integers(0, 40))
def test_changes_since_a_revision_are_complete(commands, revision):
    state = GroupState()
    _apply(state, commands)
    changes = state.accepted_since(revision)
    assert changes is not None
    assert len(changes) == max(0, state.revision - revision)


def test_old_outcomes_and_history_are_evicted(monkeypatch):
    monkeypatch.setattr(state_module, 'MAX_OUTCOMES', 3)
    monkeypatch.setattr(state_module, 'MAX_HISTORY', 2)
    state = GroupState()
    _apply(state, [(number, number) for number in range(5)])
    assert list(state.outcomes) == ['2', '3', '4']
    assert len(state.history) == 2
    assert state.accepted_since(2) is None
    assert state.known_outcome(command('0', 0)) is not None


def test_history_of_large_changes_is_bounded_in_bytes():
    """Some hundred large changes must not exceed a control host's memory."""
    state = GroupState()
    size = 200_000
    for number in range(40):
        content = Proposal(large_command(number, size))
        state.apply(LogEntry(state.index + 1, 1, content))
    assert state.revision == 40
    assert len(msgspec.msgpack.encode(state.history)) < 40 * size / 4


def test_the_newest_change_is_stored_whatever_its_size():
    """Operators must find the last change in the history."""
    state = GroupState()
    for number in range(2):
        content = Proposal(large_command(number, 20_000_000))
        state.apply(LogEntry(state.index + 1, 1, content))
    assert [accepted.revision for accepted in state.history] == [2]
