"""Spread of freshness stamps by gossip."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.tests.membership.members import Issuer, Member, start
from lycheespar.tests.virtual import VirtualLoop, run_virtual, until

STALE_AFTER_S = 5
NODES = 60


def _oldest(members: list[Member]) -> float:
    return max(member.configuration.age_s for member in members)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stamps_reach_all_from_one_node_that_has_a_control_host(seed):
    async def scenario(loop: VirtualLoop) -> None:
        loop.network.loss = 0.05
        members = await start(NODES, filled=True)
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:1]))
        await until(lambda: _oldest(members) < STALE_AFTER_S, 30)
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert _oldest(members) < STALE_AFTER_S
        task.cancel()

    run_virtual(scenario, seed)


@pytest.mark.parametrize('seed', [1, 2])
def test_no_stamp_seems_younger_than_it_is(seed):
    """Also while datagrams wait in a buffer for long, as after SIGSTOP."""

    async def scenario(loop: VirtualLoop) -> None:
        loop.network.delay_s = (0.001, 0.2)
        members = await start(12, filled=True)
        held: list[tuple[bytes, tuple[str, int]]] = []
        frozen = members[5].gossip.endpoint
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:1]))
        await asyncio.sleep(5)
        receive = frozen._receive
        frozen._receive = lambda *datagram: held.append(datagram)
        for step in range(200):
            await asyncio.sleep(0.1)
            if step == 80:
                task.cancel()
            if step == 150:
                frozen._receive = receive
                for datagram in held:
                    receive(*datagram)
            for member in members:
                age_s = member.configuration.age_s
                assert age_s >= issuer.true_age(member) - 1e-6
        assert held
        assert members[5].configuration.age_s > STALE_AFTER_S

    run_virtual(scenario, seed)


def test_nodes_cut_off_from_all_news_count_as_stale():
    async def scenario(loop: VirtualLoop) -> None:
        members = await start(20, filled=True)
        issuer = Issuer()
        task = asyncio.create_task(issuer.run(members[:2]))
        await asyncio.sleep(10)
        cut = {member.host for member in members[10:]}
        loop.network.blocked = lambda source, target: (
            (source[0] in cut) != (target[0] in cut)
        )
        await asyncio.sleep(STALE_AFTER_S)
        for member in members[10:]:
            assert member.configuration.age_s >= STALE_AFTER_S
        assert _oldest(members[:10]) < STALE_AFTER_S
        loop.network.blocked = lambda *_: False
        await until(lambda: _oldest(members) < STALE_AFTER_S, 30)
        task.cancel()

    run_virtual(scenario)
