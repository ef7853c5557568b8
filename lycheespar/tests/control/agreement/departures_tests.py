"""Departures of targets that a group of control hosts stores."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from lycheespar.control.agreement.peer_messages import ProposeDeparture
from lycheespar.control.state import departures as departures_module
from lycheespar.control.state.departures import (
    MAX_DEPARTURES_PER_NODE,
    add_departure,
)
from lycheespar.control.state.entries import LogEntry, TargetDeparted
from lycheespar.control.state.state import GroupState
from lycheespar.errors import NoQuorumError
from lycheespar.targets.departures import Departure
from lycheespar.tests.control.agreement.groups import accept, until

LEFT = Departure('i-1', 1000, deregistered=True)


async def _record(host, departure, node='node-1'):
    content = TargetDeparted(node, departure)
    await host.group.ask_leader(ProposeDeparture(content))


@pytest.mark.virtual_clock
async def test_a_recorded_departure_survives_a_crash_of_all_hosts(hosts):
    """A node that has acknowledged it may restart together with them."""
    await hosts.wait_until_settled()
    for host in hosts.all:
        await _record(host, LEFT, host.name)
    for number in range(30):
        await accept(hosts, str(number))
    assert hosts.leader.storage.base_index
    for host in hosts.all:
        host.crash()
    hosts.start()
    leader = await hosts.wait_for_leader()
    state = await leader.group.read()
    assert state.departures == {host.name: (LEFT,) for host in hosts.all}


@pytest.mark.virtual_clock
async def test_a_resent_departure_adds_no_entry(hosts):
    await hosts.wait_until_settled()
    await _record(hosts.leader, LEFT)
    before = hosts.leader.storage.last_index
    await _record(hosts.all[0], LEFT)
    await _record(hosts.all[1], Departure('i-1', 1000, sequence=9))
    assert hosts.leader.storage.last_index == before


@pytest.mark.virtual_clock
async def test_a_departure_does_not_change_the_revision(hosts):
    """Nodes that wait for a change must not be woken by it."""
    await hosts.wait_until_settled()
    await _record(hosts.leader, LEFT)
    assert (await hosts.leader.group.read()).revision == 0


@pytest.mark.virtual_clock
async def test_a_departure_is_not_recorded_without_a_quorum(hosts):
    await hosts.wait_until_settled()
    isolated = hosts.leader
    hosts.network.isolate(isolated.name, isolated.others)
    with pytest.raises(NoQuorumError):
        await _record(isolated, LEFT)
    await until(lambda: hosts.leader not in {None, isolated})
    assert not hosts.leader.group.state.departures
    hosts.network.cuts.clear()
    async with asyncio.timeout(60):
        await _record(isolated, LEFT)
    state = await hosts.leader.group.read()
    assert state.departures == {'node-1': (LEFT,)}


def test_departures_are_part_of_a_snapshot():
    state = GroupState()
    state.apply(LogEntry(1, 1, TargetDeparted('node-1', LEFT)))
    restored = msgspec.msgpack.decode(
        msgspec.msgpack.encode(state), type=GroupState
    )
    assert restored == state
    assert restored.departures == {'node-1': (LEFT,)}


def test_a_state_of_an_earlier_version_has_no_departures():
    stored = msgspec.to_builtins(GroupState())
    stored.pop('departures')
    assert msgspec.convert(stored, GroupState).departures == {}


@pytest.mark.parametrize(
    ('first', 'second', 'kept'),
    [
        (Departure('i-1', 1000, 5), LEFT, LEFT),
        (LEFT, Departure('i-1', 1000, 5), LEFT),
        (LEFT, Departure('i-1', 2000, 5), Departure('i-1', 2000, 5)),
    ],
)
def test_the_last_departure_of_a_target_is_kept(first, second, kept):
    table = {}
    add_departure(table, 'node-1', first)
    add_departure(table, 'node-1', second)
    assert table == {'node-1': (kept,)}


def test_departures_are_bounded(monkeypatch):
    """Nodes and targets come and go for as long as the group exists."""
    monkeypatch.setattr(departures_module, 'MAX_NODES', 3)
    table = {}
    for node in range(5):
        for target in range(20):
            add_departure(table, f'n-{node}', Departure(f'i-{target}', 1))
    assert list(table) == ['n-2', 'n-3', 'n-4']
    newest = [f'i-{number}' for number in range(20)][-MAX_DEPARTURES_PER_NODE:]
    assert [found.target for found in table['n-4']] == newest
