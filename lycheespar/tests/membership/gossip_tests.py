"""Tests of gossip: spreading, failure detection and healing of partitions.

The nodes run over a virtual network that loses datagrams.
"""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from lycheespar.membership.broadcast import Broadcast
from lycheespar.membership.messages import decode
from lycheespar.membership.records import Liveness, Phase
from lycheespar.tests.membership.members import Member, start
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual, until

BUDGET_BYTES_PER_S = 14_000
NODES = 24


def _all_see_alive(members: list[Member], names: set[str]) -> bool:
    return all(member.alive() == names for member in members)


def _names(members: list[Member]) -> set[str]:
    return {member.name for member in members}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_nodes_discover_all_members_through_seeds(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.1
        members = await start(NODES)
        await until(lambda: _all_see_alive(members, _names(members)), 30)

    run_virtual(scenario, seed)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_only_a_crashed_node_is_declared_dead(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.02
        members = await start(NODES, fully_connected=True)
        dead: set[str] = set()
        for member in members:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.dead and dead.add(record.node)
                ),
            )
        await asyncio.sleep(5)
        crashed = members.pop()
        crashed.crash()
        await until(
            lambda: not any(crashed.name in each.alive() for each in members),
            6,
        )
        await asyncio.sleep(30)
        assert dead == {crashed.name}
        assert _all_see_alive(members, _names(members))

    run_virtual(scenario, seed)


def test_a_node_reachable_through_helpers_is_not_declared_dead():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, fully_connected=True)
        blocked_hosts = {members[0].host, members[1].host}
        loop.network.blocked = lambda source, target: (
            {source[0], target[0]} == blocked_hosts
        )
        dead = []
        for member in members:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.dead and dead.append(record)
                ),
            )
        await asyncio.sleep(60)
        assert not dead

    run_virtual(scenario)


def test_a_planned_leave_spreads_before_suspicion_could_expire():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, fully_connected=True)
        await asyncio.sleep(2)
        departed = members.pop()
        await departed.gossip.stop()
        await until(
            lambda: not any(departed.name in each.alive() for each in members),
            2,
        )

    run_virtual(scenario)


def test_the_draining_phase_spreads_at_once():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(9, fully_connected=True)
        await asyncio.sleep(1)
        own = members[0].gossip.own_record
        draining = type(own)(*_fields(own, phase=Phase.draining))
        members[0].gossip.update_own_record(draining)
        await until(
            lambda: all(
                each.view.get(own.node).phase is Phase.draining
                for each in members
            ),
            0.1,
        )

    run_virtual(scenario)


def _fields(record, **changed):
    return [
        changed.get(name, getattr(record, name))
        for name in record.__struct_fields__
    ]


@pytest.mark.parametrize('incarnation', [2, 1, 0])
def test_a_restarted_node_rejoins(incarnation):
    """The clock may have stood still or gone back since the last start."""

    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, fully_connected=True)
        crashed = members.pop()
        own = crashed.gossip.own_record
        crashed.gossip.update_own_record(type(own)(*_fields(own, slots=9)))
        await asyncio.sleep(2)
        crashed.crash()
        await asyncio.sleep(20)
        restarted = Member(NODES - 1, incarnation)
        await restarted.gossip.start()
        members.append(restarted)
        await until(lambda: _all_see_alive(members, _names(members)), 30)
        await until(
            lambda: all(
                each.view.get(own.node).slots == 12 for each in members
            ),
            10,
        )

    run_virtual(scenario)


@pytest.mark.parametrize(('seed', 'partition_s'), [(1, 20), (2, 300), (3, 300)])
def test_halves_merge_after_a_partition(seed, partition_s):
    """Nodes that stopped during the partition must not be revived."""

    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.02
        members = await start(NODES, fully_connected=True)
        await asyncio.sleep(2)
        first_half = {member.host for member in members[::2]}
        loop.network.blocked = lambda source, target: (
            (source[0] in first_half) != (target[0] in first_half)
        )
        await asyncio.sleep(partition_s / 2)
        stopped = [members.pop(), members.pop()]
        stopped[0].crash()
        await stopped[1].gossip.stop()
        await asyncio.sleep(partition_s / 2)
        revived: list[str] = []
        for member in members:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.alive
                    and revived.append(record.node)
                ),
            )
        loop.network.blocked = lambda *_: False
        await until(lambda: _all_see_alive(members, _names(members)), 60)
        await asyncio.sleep(60)
        assert _all_see_alive(members, _names(members))
        assert not {member.name for member in stopped} & set(revived)

    run_virtual(scenario, seed)


def test_a_resumed_node_does_not_revive_removed_members():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, fully_connected=True)
        stopped, paused = members.pop(), members[0]
        await asyncio.sleep(2)
        paused.pause()
        stopped.crash()
        await asyncio.sleep(200)
        revived: list[str] = []
        for member in members[1:]:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.alive
                    and revived.append(record.node)
                ),
            )
        assert stopped.name in paused.alive()
        paused.resume()
        await until(lambda: _all_see_alive(members, _names(members)), 60)
        assert stopped.name not in revived

    run_virtual(scenario)


def test_a_broadcast_is_forwarded_at_once():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(200, fully_connected=True)
        await asyncio.sleep(1)
        members[0].broadcasts.publish(
            Broadcast('topic', b'key', b'content', 600),
        )
        await until(
            lambda: all(
                each.broadcasts.get('topic', b'key') for each in members
            ),
            0.1,
        )

    run_virtual(scenario)


def test_a_new_node_is_synchronized_once_it_knows_all_members():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(40, fully_connected=True)
        newcomer = Member(40)
        await newcomer.gossip.start()
        assert not newcomer.gossip.synchronized
        await until(lambda: newcomer.gossip.synchronized, 3)
        assert len(newcomer.view) == len(members) + 1

    run_virtual(scenario)


def test_a_broadcast_reaches_all_members_and_is_then_dequeued():
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.05
        members = await start(NODES, fully_connected=True)
        await asyncio.sleep(20)
        members[0].broadcasts.publish(
            Broadcast('topic', b'key', b'content', 600),
        )
        await until(
            lambda: all(
                each.broadcasts.get('topic', b'key') for each in members
            ),
            5,
        )
        await asyncio.sleep(20)
        assert not any(len(each.gossip._endpoint._updates) for each in members)

    run_virtual(scenario)


def test_bytes_stay_within_the_budget_while_half_of_the_nodes_crash():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(60, fully_connected=True)
        await asyncio.sleep(60)
        loop.network.received_bytes.clear()
        loop.network.sent_bytes.clear()
        for member in members[30:]:
            member.crash()
        await asyncio.sleep(60)
        for member in members[:30]:
            address = (member.host, 7000)
            total = (
                loop.network.sent_bytes[address]
                + loop.network.received_bytes[address]
            )
            assert total / 60 < BUDGET_BYTES_PER_S
        assert _all_see_alive(members[:30], _names(members[:30]))

    run_virtual(scenario)


def test_bytes_stay_within_the_budget_while_all_records_are_new():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(20, fully_connected=True)
        tracker = members[0].gossip._tracker
        own = members[0].gossip.own_record
        for index in range(3000):
            host = f'127.2.{index // 250}.{index % 250}'
            fields = _fields(own, node=f'other-{index}', host=host)
            tracker.apply_record(type(own)(*fields))
        await asyncio.sleep(20)
        loop.network.sent_bytes.clear()
        await asyncio.sleep(60)
        for member in members:
            sent = loop.network.sent_bytes[member.host, 7000]
            assert sent / 60 < BUDGET_BYTES_PER_S / 2

    run_virtual(scenario)


@settings(max_examples=300, deadline=None)
@given(some.binary(max_size=200))
def test_decode_raises_no_error_for_any_bytes(payload):
    decode(payload)


@settings(max_examples=40, deadline=None)
@given(
    some.lists(
        some.tuples(some.integers(0, 400), some.integers(0, 255)),
        min_size=1,
        max_size=4,
    ),
)
def test_damaged_datagrams_do_not_disrupt_gossip(flips):
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(3, fully_connected=True)
        port = members[0].gossip.endpoint
        sent: list[bytes] = []
        port._transport.sendto = lambda payload, _: sent.append(payload)
        await asyncio.sleep(3)
        for payload in sent:
            damaged = bytearray(payload)
            for position, byte in flips:
                damaged[position % len(damaged)] = byte
            members[1].gossip.endpoint.datagram_received(
                bytes(damaged),
                (members[0].host, 7000),
            )
        await asyncio.sleep(20)
        assert {members[1].name, members[2].name} <= members[2].alive()

    run_virtual(scenario)
