"""Tests that nodes which start at once all learn of each other."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from msgspec.structs import replace

from lycheespar.membership.messages import pack_records, unpack_records
from lycheespar.membership.records import MemberRecord
from lycheespar.tests.membership.members import PORT, Member, start
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual, until

# Time in seconds within which a fleet that starts at once is complete.
COMPLETE_WITHIN_S = 10
# Bytes per second of a link of 2.6 Mbit/s.
LINK_BYTES_PER_S = 325_000


def _complete(members: list[Member]) -> bool:
    return all(
        len(member.view) >= len(members) and member.gossip.synchronized
        for member in members
    )


async def _watch_traffic(loop: VirtualLoop, members: list[Member]) -> None:
    """Check the bytes that each node sends and receives in any second."""
    network = loop.network
    while True:
        network.sent_bytes.clear()
        network.received_bytes.clear()
        await asyncio.sleep(1)
        for member in members:
            address = (member.host, PORT)
            total = network.sent_bytes[address]
            total += network.received_bytes[address]
            assert total < LINK_BYTES_PER_S


@pytest.mark.parametrize(
    ('nodes', 'loss', 'seed'),
    [(2, 0, 1), (25, 0, 1), (25, 0.05, 2), (200, 0.05, 1)],
)
def test_nodes_that_start_at_once_know_all_members(nodes, loss, seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = loss
        members = await start(nodes)
        watch = asyncio.create_task(_watch_traffic(loop, members))
        await until(lambda: _complete(members), COMPLETE_WITHIN_S)
        assert not watch.done()

    run_virtual(scenario, seed)


@pytest.mark.soak
@pytest.mark.parametrize('seed', [1, 2])
def test_seven_hundred_nodes_that_start_at_once_know_all_members(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.05
        members = await start(700)
        await until(
            lambda: sum(len(each.view) == 700 for each in members) > 690,
            COMPLETE_WITHIN_S,
        )
        await until(lambda: _complete(members), COMPLETE_WITHIN_S)

    run_virtual(scenario, seed)


def test_nodes_join_while_a_third_of_the_seeds_is_dead():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(60)
        members.pop(0).crash()
        await until(
            lambda: all(len(each.view) >= 59 for each in members),
            COMPLETE_WITHIN_S,
        )

    run_virtual(scenario)


def test_halves_that_never_heard_of_each_other_merge():
    async def scenario(loop: VirtualLoop) -> None:
        members = [Member(index) for index in range(80)]
        # Each half reaches one seed; the third one is in the first half.
        half = {member.host for member in members[1::2]}
        loop.network.blocked = lambda source, target: (
            (source[0] in half) != (target[0] in half)
        )
        for member in members:
            await member.gossip.start()
        await asyncio.sleep(10)
        assert all(len(member.view) == 40 for member in members)
        loop.network.blocked = lambda *_: False
        await until(
            lambda: all(len(each.alive()) == 80 for each in members),
            3 * COMPLETE_WITHIN_S,
        )

    run_virtual(scenario)


def test_a_node_that_joins_later_gets_the_whole_table():
    async def scenario(loop: VirtualLoop) -> None:
        await start(100, fully_connected=True)
        await asyncio.sleep(5)
        late = Member(100)
        await late.gossip.start()
        await until(lambda: late.gossip.synchronized, 3)
        assert len(late.view) == 101

    run_virtual(scenario)


async def _change_records(members: list[Member]) -> None:
    """Change the record of one member after the other, without end."""
    for member in itertools.cycle(members):
        gossip = member.gossip
        slots = gossip.own_record.slots + 1
        gossip.update_own_record(replace(gossip.own_record, slots=slots))
        await asyncio.sleep(0.03)


def test_a_node_that_joins_amid_changes_does_not_wait_for_an_equal_table():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(100, fully_connected=True)
        await asyncio.sleep(5)
        changes = asyncio.create_task(_change_records(members))
        for index in range(100, 110):
            late = Member(index)
            await late.gossip.start()
            await until(lambda: late.gossip.synchronized, 2)  # noqa: B023
            assert len(late.view) >= index
        assert not changes.done()

    run_virtual(scenario)


def test_a_member_that_is_known_as_dead_is_not_revived_by_a_table():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(30, fully_connected=True)
        await asyncio.sleep(2)
        gone = members.pop()
        gone.crash()
        await until(
            lambda: not any(gone.name in each.alive() for each in members), 20
        )
        late = Member(40)
        await late.gossip.start()
        await until(lambda: late.gossip.synchronized, 5)
        await asyncio.sleep(5)
        assert gone.name not in late.alive()
        assert not any(gone.name in each.alive() for each in members)

    run_virtual(scenario)


@pytest.mark.parametrize('packed', [b'', b'nonsense', b'\x78\x01\x01'])
def test_malformed_pages_hold_no_records(packed):
    assert unpack_records(packed) == ()


def test_a_page_that_expands_beyond_its_limit_holds_no_records():
    record = MemberRecord('node', 1, 0, '127.1.0.1', 1, 2, 'ijmuiden')
    packed = pack_records([record] * 20_000)
    assert unpack_records(packed) == ()
