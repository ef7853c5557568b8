"""The replicated state: outcomes, history and snapshots."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lycheespar.control import state as state_module
from lycheespar.control.entries import LogEntry, Proposal
from lycheespar.control.state import Accepted, GroupState
from lycheespar.tests.control.groups import command

_sent = st.tuples(st.integers(0, 12), st.integers(0, 6))


def _apply(state: GroupState, sent: list[tuple[int, int]]) -> None:
    for change, base in sent:
        content = Proposal(command(str(change), base))
        state.apply(LogEntry(state.index + 1, 1, content))


@given(sent=st.lists(_sent, max_size=40), cut=st.integers(0, 40))
def test_a_snapshot_continues_like_the_whole_log(sent, cut):
    whole, first = GroupState(), GroupState()
    _apply(whole, sent)
    _apply(first, sent[:cut])
    stored = msgspec.msgpack.encode(first)
    restored = msgspec.msgpack.decode(stored, type=GroupState)
    _apply(restored, sent[cut:])
    assert restored == whole


@given(sent=st.lists(_sent, max_size=40))
def test_each_change_id_keeps_its_first_outcome(sent):
    state = GroupState()
    outcomes: dict[str, object] = {}
    for change, base in sent:
        known = state.known_outcome(command(str(change), base))
        _apply(state, [(change, base)])
        outcome = state.outcomes[str(change)]
        assert outcomes.setdefault(str(change), outcome) == outcome
        assert known is None or isinstance(known, type(outcome))
    made = [found for found in outcomes.values() if isinstance(found, Accepted)]
    assert len(made) == state.revision == len(state.history)


@given(sent=st.lists(_sent, max_size=40), revision=st.integers(0, 40))
def test_the_changes_since_a_revision_are_those_missing(sent, revision):
    state = GroupState()
    _apply(state, sent)
    changes = state.changes_since(revision)
    assert changes is not None
    assert len(changes) == max(0, state.revision - revision)


def test_old_outcomes_and_history_are_forgotten(monkeypatch):
    monkeypatch.setattr(state_module, 'MAX_OUTCOMES', 3)
    monkeypatch.setattr(state_module, 'MAX_HISTORY', 2)
    state = GroupState()
    _apply(state, [(number, number) for number in range(5)])
    assert list(state.outcomes) == ['2', '3', '4']
    assert len(state.history) == 2
    assert state.changes_since(2) is None
    assert state.known_outcome(command('0', 0)) is not None
