"""Tests of the spreading of freshness stamps by gossip."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.tests.membership.members import Issuer, Member, start
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual, until

STALE_AFTER_S = 5
NODES = 60


def _greatest_age_s(members: list[Member]) -> float:
    return max(member.configuration.age_s for member in members)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stamps_received_by_one_node_reach_all_nodes(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.05
        members = await start(NODES, fully_connected=True)
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:1]))
        await until(lambda: _greatest_age_s(members) < STALE_AFTER_S, 30)
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert _greatest_age_s(members) < STALE_AFTER_S
        task.cancel()

    run_virtual(scenario, seed)


@pytest.mark.parametrize('seed', [1, 2])
def test_the_age_of_a_stamp_is_never_underestimated(seed):
    """This includes stamps in datagrams that wait in a buffer for long.

    Datagrams wait like this while the receiver is paused by SIGSTOP.
    """

    async def scenario(loop: VirtualLoop) -> None:
        loop.network.delay_s = (0.001, 0.2)
        members = await start(12, fully_connected=True)
        buffered: list[tuple[bytes, tuple[str, int]]] = []
        paused = members[5].gossip.endpoint
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:1]))
        await asyncio.sleep(5)
        receive = paused._receive
        paused._receive = lambda *datagram: buffered.append(datagram)
        for step in range(200):
            await asyncio.sleep(0.1)
            if step == 80:
                task.cancel()
            if step == 150:
                paused._receive = receive
                for datagram in buffered:
                    receive(*datagram)
            for member in members:
                age_s = member.configuration.age_s
                assert age_s >= issuer.actual_age_s(member) - 1e-6
        assert buffered
        assert members[5].configuration.age_s > STALE_AFTER_S

    run_virtual(scenario, seed)


def test_isolated_nodes_become_stale():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(20, fully_connected=True)
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:2]))
        await asyncio.sleep(10)
        isolated = {member.host for member in members[10:]}
        loop.network.blocked = lambda source, target: (
            (source[0] in isolated) != (target[0] in isolated)
        )
        await asyncio.sleep(STALE_AFTER_S)
        for member in members[10:]:
            assert member.configuration.age_s >= STALE_AFTER_S
        assert _greatest_age_s(members[:10]) < STALE_AFTER_S
        loop.network.blocked = lambda *_: False
        await until(lambda: _greatest_age_s(members) < STALE_AFTER_S, 30)
        task.cancel()

    run_virtual(scenario)
