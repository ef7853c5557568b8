"""Nodes that can't confirm their configuration, as real processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.whole.service import HOST, configure
from standins.cluster import Cluster, NodePlan, answers, change, wait_until
from standins.link import Link

STALE_AFTER_S = 4
CALLS = 12


def _plan(folder: Path, *, serve_stale: bool) -> Cluster:
    """Plan two nodes in two data centres, each with its target."""
    planned = Cluster(folder)
    for index, data_centre in enumerate(('ijmuiden', 'rotterdam')):
        node = planned.add_node(
            f'node-{index}',
            data_centre,
            stale_after_s=STALE_AFTER_S,
            serve_stale=serve_stale,
        )
        # The lease outlasts the freeze, so that only the age counts.
        planned.add_target(
            node,
            team='vlotwacht',
            service='certificates',
            lease_s=60,
        )
    return planned


async def _executions(
    session: aiohttp.ClientSession,
    cluster: Cluster,
    target: str,
) -> int:
    plan = cluster.targets[target]
    url = f'http://{plan.host}:{plan.port}/_stats'
    async with session.get(url) as response:
        stats = await response.json()
    return sum(stats['executions'].values())


async def _call(session: aiohttp.ClientSession, node: NodePlan) -> str:
    """Call a node; return the error's code, or nothing for an answer."""
    headers = {'Host': HOST}
    async with session.get(f'{node.url}/a', headers=headers) as response:
        if response.status == 200:
            await response.read()
            return ''
        assert response.status == 503
        assert int(response.headers['Retry-After']) > 0
        problem = await response.json(content_type=None)
        return problem['code']


async def _serving(session: aiohttp.ClientSession, cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        url = f'{node.url}/a'
        await wait_until(partial(answers, session, url, HOST))


async def _freeze_and_take_out(
    session: aiohttp.ClientSession,
    cluster: Cluster,
) -> tuple[int, Counter[str]]:
    """Freeze a node, take its data centre out, and let it wake alone.

    Returns
    -------
    tuple[int, Counter[str]]
        Calls that its target ran after that, and what the callers got.
    """
    await configure(session, cluster.api)
    await _serving(session, cluster)
    frozen = cluster.processes['node-0']
    frozen.send(signal.SIGSTOP)
    await change(session, cluster.api, 'take_out_data_centre', name='ijmuiden')
    await asyncio.sleep(STALE_AFTER_S + 1)
    cluster.processes['control-1'].kill()
    cluster.processes['node-1'].kill()
    before = await _executions(session, cluster, 'node-0-target')
    calls = [
        asyncio.create_task(_call(session, cluster.nodes['node-0']))
        for _ in range(CALLS)
    ]
    await asyncio.sleep(0.2)
    frozen.send(signal.SIGCONT)
    codes = Counter(await asyncio.gather(*calls))
    after = await _executions(session, cluster, 'node-0-target')
    return after - before, codes


@pytest.mark.parametrize('serve_stale', [False, True])
async def test_a_frozen_node_runs_no_queued_work_when_it_wakes(
    tmp_path,
    serve_stale,
):
    """With the setting to serve stale configurations it does."""
    cluster = _plan(tmp_path, serve_stale=serve_stale)
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            ran, codes = await _freeze_and_take_out(session, cluster)
    finally:
        cluster.stop()
    if serve_stale:
        assert ran > 0
    else:
        assert ran == 0
        assert not codes['']


async def test_a_node_that_is_cut_off_refuses_and_serves_again(tmp_path):
    """The control host's link is cut silently: nothing comes, nothing ends."""
    cluster = _plan(tmp_path, serve_stale=False)
    host, port = cluster.control_peers['control-1'].split(':')
    link = Link(host, int(port))
    await link.start()
    linked = {'control-1': '{}:{}'.format(*link.address)}
    for node in cluster.nodes.values():
        node.settings['control'] = linked
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            await configure(session, cluster.api)
            await _serving(session, cluster)
            link.cut()
            node = cluster.nodes['node-0']

            async def refuses() -> bool:
                return await _call(session, node) == 'stale_configuration'

            await wait_until(refuses)
            before = await _executions(session, cluster, 'node-0-target')
            assert await refuses()
            after = await _executions(session, cluster, 'node-0-target')
            assert before == after
            link.heal()
            await _serving(session, cluster)
    finally:
        cluster.stop()
        await link.stop()


async def test_a_node_stays_current_by_gossip_without_a_control_host(tmp_path):
    cluster = _plan(tmp_path, serve_stale=False)
    host, port = cluster.control_peers['control-1'].split(':')
    link = Link(host, int(port))
    await link.start()
    linked = {'control-1': '{}:{}'.format(*link.address)}
    cluster.nodes['node-0'].settings['control'] = linked
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            await configure(session, cluster.api)
            await _serving(session, cluster)
            link.cut()
            deadline = asyncio.get_running_loop().time() + 2 * STALE_AFTER_S
            while asyncio.get_running_loop().time() < deadline:
                assert not await _call(session, cluster.nodes['node-0'])
                await asyncio.sleep(0.1)
    finally:
        cluster.stop()
        await link.stop()
