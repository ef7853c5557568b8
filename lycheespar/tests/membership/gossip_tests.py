"""Spread of records, failure detection and healing, over a lossy network."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from lycheespar.membership.broadcast import Broadcast
from lycheespar.membership.messages import decode
from lycheespar.membership.records import Liveness, Phase
from lycheespar.tests.membership.members import Member, start
from lycheespar.tests.virtual import VirtualLoop, run_virtual, until

BUDGET_BYTES_PER_S = 14_000
NODES = 24


def _all_know(members: list[Member], names: set[str]) -> bool:
    return all(member.alive() == names for member in members)


def _names(members: list[Member]) -> set[str]:
    return {member.name for member in members}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_nodes_learn_of_all_through_seeds(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.1
        members = await start(NODES)
        await until(lambda: _all_know(members, _names(members)), 30)

    run_virtual(scenario, seed)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_dead_node_is_found_and_no_other_is_declared_dead(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.02
        members = await start(NODES, filled=True)
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
        assert _all_know(members, _names(members))

    run_virtual(scenario, seed)


def test_a_node_that_some_reach_is_not_declared_dead():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, filled=True)
        pair = {members[0].host, members[1].host}
        loop.network.blocked = lambda source, target: (
            {source[0], target[0]} == pair
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


def test_a_planned_leave_spreads_without_suspicion():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, filled=True)
        await asyncio.sleep(2)
        departed = members.pop()
        await departed.gossip.stop()
        await until(
            lambda: not any(departed.name in each.alive() for each in members),
            2,
        )

    run_virtual(scenario)


def test_a_drain_spreads_at_once():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(9, filled=True)
        await asyncio.sleep(1)
        own = members[0].gossip.own
        draining = type(own)(*_fields(own, phase=Phase.draining))
        members[0].gossip.update(draining)
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
def test_a_restarted_node_is_known_again(incarnation):
    """Also with a clock that stood still or went back."""

    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, filled=True)
        crashed = members.pop()
        own = crashed.gossip.own
        crashed.gossip.update(type(own)(*_fields(own, slots=9)))
        await asyncio.sleep(2)
        crashed.crash()
        await asyncio.sleep(20)
        restarted = Member(NODES - 1, incarnation)
        await restarted.gossip.start()
        members.append(restarted)
        await until(lambda: _all_know(members, _names(members)), 30)
        await until(
            lambda: all(
                each.view.get(own.node).slots == 12 for each in members
            ),
            10,
        )

    run_virtual(scenario)


@pytest.mark.parametrize(('seed', 'cut_s'), [(1, 20), (2, 300), (3, 300)])
def test_halves_merge_after_a_silent_partition(seed, cut_s):
    """Without bringing back the nodes that ended in the meantime."""

    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.02
        members = await start(NODES, filled=True)
        await asyncio.sleep(2)
        first_half = {member.host for member in members[::2]}
        loop.network.blocked = lambda source, target: (
            (source[0] in first_half) != (target[0] in first_half)
        )
        await asyncio.sleep(cut_s / 2)
        ended = [members.pop(), members.pop()]
        ended[0].crash()
        await ended[1].gossip.stop()
        await asyncio.sleep(cut_s / 2)
        revived: list[str] = []
        for member in members:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.alive
                    and revived.append(record.node)
                ),
            )
        loop.network.blocked = lambda *_: False
        await until(lambda: _all_know(members, _names(members)), 60)
        await asyncio.sleep(60)
        assert _all_know(members, _names(members))
        assert not {member.name for member in ended} & set(revived)

    run_virtual(scenario, seed)


def test_a_node_that_was_frozen_brings_back_no_removed_node():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(NODES, filled=True)
        ended, frozen = members.pop(), members[0]
        await asyncio.sleep(2)
        frozen.freeze()
        ended.crash()
        await asyncio.sleep(200)
        revived: list[str] = []
        for member in members[1:]:
            member.view.changes.subscribe(
                lambda record: (
                    record.liveness is Liveness.alive
                    and revived.append(record.node)
                ),
            )
        assert ended.name in frozen.alive()
        frozen.thaw()
        await until(lambda: _all_know(members, _names(members)), 60)
        assert ended.name not in revived

    run_virtual(scenario)


def test_a_fact_is_passed_on_at_once():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(200, filled=True)
        await asyncio.sleep(1)
        members[0].broadcasts.publish(
            Broadcast('topic', b'key', b'content', 600)
        )
        await until(
            lambda: all(
                each.broadcasts.get('topic', b'key') for each in members
            ),
            0.1,
        )

    run_virtual(scenario)


def test_a_starting_node_is_synchronized_when_it_knows_all():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(40, filled=True)
        newcomer = Member(40)
        await newcomer.gossip.start()
        assert not newcomer.gossip.synchronized
        await until(lambda: newcomer.gossip.synchronized, 3)
        assert len(newcomer.view) == len(members) + 1

    run_virtual(scenario)


def test_a_fact_reaches_all_and_is_then_sent_no_more():
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.05
        members = await start(NODES, filled=True)
        await asyncio.sleep(20)
        members[0].broadcasts.publish(
            Broadcast('topic', b'key', b'content', 600)
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


def test_bytes_stay_within_the_budget_while_half_of_the_nodes_go():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(60, filled=True)
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
        assert _all_know(members[:30], _names(members[:30]))

    run_virtual(scenario)


def test_bytes_stay_within_the_budget_while_all_records_are_new():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(20, filled=True)
        tracker = members[0].gossip._tracker
        own = members[0].gossip.own
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
def test_any_bytes_are_decoded_or_dropped(payload):
    decode(payload)


@settings(max_examples=40, deadline=None)
@given(
    some.lists(
        some.tuples(some.integers(0, 400), some.integers(0, 255)),
        min_size=1,
        max_size=4,
    ),
)
def test_damaged_datagrams_do_no_harm(flips):
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(3, filled=True)
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
