"""How long a starting node waits for the records of other members."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from lycheespar.membership.join_wait import JoinWait
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.tests.membership.members import Member, start
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual, until

# Time in seconds within which all nodes of a fleet that lost its power serve,
# once their processes run.
SERVING_WITHIN_S = 1.5
NODES = 90


def _members(serving: int, starting: int) -> MembershipView:
    members = MembershipView()
    phases = [Phase.ready] * serving + [Phase.absent] * starting
    for index, phase in enumerate(phases):
        members.merge(
            MemberRecord(f'node-{index}', 1, 0, 'h', 1, 2, 'a', phase=phase)
        )
    return members


def test_nodes_that_start_at_once_do_not_wait_for_complete_tables():
    """After a loss of power, each node waited 3 s, in which none served."""

    async def serve(member: Member) -> float:
        gossip = member.gossip
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await gossip.start()
        record = gossip.own_record
        gossip.update_own_record(replace(record, phase=Phase.absent))
        wait = JoinWait(member.name, member.view)
        await until(
            lambda: wait.is_over(
                loop.time() - started_at, synchronized=gossip.synchronized
            ),
            5,
        )
        gossip.update_own_record(replace(gossip.own_record, phase=Phase.cold))
        return loop.time() - started_at

    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.01
        members = [Member(index) for index in range(NODES)]
        waits_s = await asyncio.gather(*(serve(member) for member in members))
        assert max(waits_s) <= SERVING_WITHIN_S
        await until(
            lambda: all(len(member.view) == NODES for member in members), 10
        )

    run_virtual(scenario)


def test_a_node_that_joins_a_fleet_at_work_waits_for_a_complete_table():
    """Else its callers would be refused, or crowd the few known targets."""

    async def scenario(_: VirtualLoop) -> None:
        await start(NODES, fully_connected=True)
        await asyncio.sleep(5)
        late = Member(NODES)
        wait = JoinWait(late.name, late.view)
        await late.gossip.start()
        await until(lambda: len(late.view) > 5, 3)
        assert not wait.is_over(2, synchronized=False)
        await until(lambda: late.gossip.synchronized, 3)
        assert wait.is_over(0.1, synchronized=True)

    run_virtual(scenario)


def test_nodes_that_begin_to_serve_do_not_hide_that_the_fleet_is_starting():
    members = _members(serving=0, starting=10)
    wait = JoinWait('own', members)
    assert not wait.is_over(0.5, synchronized=False)
    for record in tuple(members.records):
        members.merge(replace(record, version=1, phase=Phase.cold))
    assert wait.is_over(1.1, synchronized=False)


@pytest.mark.parametrize(
    ('serving', 'starting', 'expected'),
    [(0, 2, False), (0, 3, True), (5, 5, False), (4, 6, True)],
)
def test_most_known_nodes_must_be_starting(serving, starting, expected):
    wait = JoinWait('own', _members(serving, starting))
    assert wait.is_over(2, synchronized=False) is expected


def test_a_node_that_hears_of_nobody_serves_after_the_longest_wait():
    wait = JoinWait('own', MembershipView())
    assert not wait.is_over(2.9, synchronized=False)
    assert wait.is_over(3.1, synchronized=False)
