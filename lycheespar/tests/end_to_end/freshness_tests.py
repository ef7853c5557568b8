"""Nodes that can't confirm that their configuration is current."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import (
    Cluster,
    NodePlan,
    answers_with_status,
    submit_configuration_change,
    wait_until,
)
from standins.link import Link

STALE_AFTER_S = 4
QUEUED_CALLS = 12
FREEZE_S = 6


def _plan_cluster(folder: Path, *, serve_stale: bool) -> Cluster:
    """Plan two nodes in two data centres, each with its target."""
    planned = Cluster(folder)
    for index, data_centre in enumerate(('ijmuiden', 'rotterdam')):
        node = planned.add_node(
            f'node-{index}',
            data_centre,
            stale_after_s=STALE_AFTER_S,
            serve_stale=serve_stale,
        )
        # The lease outlasts the freeze: calls are refused only because of the
        # age of the configuration.
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
    """Call a node; return the error code, or an empty text on success."""
    headers = {'Host': HOST}
    async with session.get(f'{node.url}/a', headers=headers) as response:
        if response.status == 200:
            await response.read()
            return ''
        assert response.status == 503
        assert int(response.headers['Retry-After']) > 0
        problem = await response.json(content_type=None)
        return problem['code']


async def _wait_serving(
    session: aiohttp.ClientSession, cluster: Cluster
) -> None:
    for node in cluster.nodes.values():
        url = f'{node.url}/a'
        await wait_until(partial(answers_with_status, session, url, HOST))


async def _freeze_and_take_out(
    session: aiohttp.ClientSession,
    cluster: Cluster,
) -> tuple[int, Counter[str]]:
    """Freeze a node, take its data centre out, and resume the node.

    Calls are sent to the node while it is frozen. Before it resumes, the first
    control host and the other node are killed.

    Returns
    -------
    tuple[int, Counter[str]]
        Calls that its target ran after the node resumed, and how often each
        error code occurred (an empty text for success).
    """
    await configure(session, cluster.api)
    await _wait_serving(session, cluster)
    frozen = cluster.processes['node-0']
    frozen.send(signal.SIGSTOP)
    await submit_configuration_change(
        session, cluster.api, 'take_out_data_centre', name='ijmuiden'
    )
    await asyncio.sleep(STALE_AFTER_S + 1)
    cluster.processes['control-1'].kill()
    cluster.processes['node-1'].kill()
    runs_before = await _executions(session, cluster, 'node-0-target')
    calls = [
        asyncio.create_task(_call(session, cluster.nodes['node-0']))
        for _ in range(QUEUED_CALLS)
    ]
    await asyncio.sleep(0.2)
    frozen.send(signal.SIGCONT)
    codes = Counter(await asyncio.gather(*calls))
    runs_after = await _executions(session, cluster, 'node-0-target')
    return runs_after - runs_before, codes


@pytest.mark.parametrize('serve_stale', [False, True])
async def test_a_resumed_node_runs_queued_calls_only_with_serve_stale(
    tmp_path,
    serve_stale,
):
    """Calls that waited in the sockets of a frozen node must not run late.

    Its data centre was taken out meanwhile, which it does not know yet.
    """
    cluster = _plan_cluster(tmp_path, serve_stale=serve_stale)
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


async def test_a_disconnected_node_refuses_calls_until_reconnected(tmp_path):
    """The only link to a control host discards traffic without closing."""
    cluster = _plan_cluster(tmp_path, serve_stale=False)
    host, port = cluster.control_peers['control-1'].split(':')
    link = Link(host, int(port))
    await link.start()
    control_through_link = {'control-1': '{}:{}'.format(*link.address)}
    for node in cluster.nodes.values():
        node.settings['control'] = control_through_link
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            await configure(session, cluster.api)
            await _wait_serving(session, cluster)
            link.discard_all_traffic()
            node = cluster.nodes['node-0']

            async def refuses_as_stale() -> bool:
                return await _call(session, node) == 'stale_configuration'

            await wait_until(refuses_as_stale)
            runs_before = await _executions(session, cluster, 'node-0-target')
            assert await refuses_as_stale()
            runs_after = await _executions(session, cluster, 'node-0-target')
            assert runs_before == runs_after
            link.heal()
            await _wait_serving(session, cluster)
    finally:
        cluster.stop()
        await link.stop()


async def test_gossip_keeps_a_node_current_without_a_control_host(tmp_path):
    cluster = _plan_cluster(tmp_path, serve_stale=False)
    host, port = cluster.control_peers['control-1'].split(':')
    link = Link(host, int(port))
    await link.start()
    control_through_link = {'control-1': '{}:{}'.format(*link.address)}
    cluster.nodes['node-0'].settings['control'] = control_through_link
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            await configure(session, cluster.api)
            await _wait_serving(session, cluster)
            link.discard_all_traffic()
            deadline = asyncio.get_running_loop().time() + 2 * STALE_AFTER_S
            while asyncio.get_running_loop().time() < deadline:
                assert not await _call(session, cluster.nodes['node-0'])
                await asyncio.sleep(0.1)
    finally:
        cluster.stop()
        await link.stop()


async def test_nodes_stay_current_while_control_hosts_freeze_in_turn(tmp_path):
    """One control host at a time is frozen, so that a majority remains.

    The default of 5 s after which a configuration is stale applies.
    """
    cluster = Cluster(tmp_path)
    for index, data_centre in enumerate(('ijmuiden', 'rotterdam')):
        node = cluster.add_node(f'node-{index}', data_centre)
        cluster.add_target(node, team='vlotwacht', service='certificates')
    cluster.start()
    codes: Counter[str] = Counter()

    async def call_for_seconds(
        session: aiohttp.ClientSession,
        node: NodePlan,
        seconds: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            codes[await _call(session, node)] += 1
            await asyncio.sleep(0.05)

    try:
        async with aiohttp.ClientSession() as session:
            await configure(session, cluster.api)
            await _wait_serving(session, cluster)
            for name in cluster.control_peers:
                control_process = cluster.processes[name]
                control_process.send(signal.SIGSTOP)
                await asyncio.gather(
                    *(
                        call_for_seconds(session, node, FREEZE_S)
                        for node in cluster.nodes.values()
                    ),
                )
                control_process.send(signal.SIGCONT)
                await asyncio.sleep(1)
    finally:
        cluster.stop()
    assert not codes['stale_configuration']
    assert codes['']
