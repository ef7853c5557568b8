"""Tests of the replies to pulls."""

from __future__ import annotations

from lycheespar.configuration.changes import Command, PutTemplate
from lycheespar.configuration.model import Template
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.pull_replies import MAX_CHANGES_PER_REPLY, ReplyBuilder
from lycheespar.control.state.entries import LogEntry, Proposal
from lycheespar.control.state.state import GroupState
from lycheespar.tests.control.agreement.groups import command

STAMP = Stamp(1, 2, 3, 4)


def _state_after(*commands: Command) -> GroupState:
    state = GroupState()
    for entry_command in commands:
        state.apply(LogEntry(state.index + 1, 1, Proposal(entry_command)))
    assert state.revision == len(commands)
    return state


def _put_template(number: int, name: str) -> Command:
    return Command(str(number), number, 'operator', PutTemplate(Template(name)))


def test_a_starting_node_does_not_get_a_history_larger_than_the_configuration():
    """The history of a large configuration exceeded the memory of nodes."""
    name = 'x' * 1000
    state = _state_after(*(_put_template(number, name) for number in range(20)))
    reply = ReplyBuilder().build(state, 0, STAMP, 0)
    assert reply.configuration == state.configuration
    assert not reply.changes


def test_a_starting_node_does_not_apply_a_long_history():
    """Each change is checked against the whole configuration."""
    count = MAX_CHANGES_PER_REPLY + 1
    state = _state_after(
        *(command(str(number), number) for number in range(count))
    )
    reply = ReplyBuilder().build(state, 0, STAMP, 0)
    assert reply.configuration == state.configuration


def test_a_node_that_lacks_one_change_gets_only_that():
    """A change of a large configuration must not send all of it."""
    state = _state_after(_put_template(0, 'x' * 1000), command('1', 1))
    reply = ReplyBuilder().build(state, 1, STAMP, 0)
    assert reply.configuration is None
    assert reply.base_revision == 1
    assert len(reply.changes) == 1
