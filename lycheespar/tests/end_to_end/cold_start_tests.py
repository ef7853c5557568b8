"""Cold start of a target to which several nodes send calls."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until

SENDERS_PER_NODE = 25
TARGET_PLAN = {'slots': 12, 'cold_slots': 2, 'service_ms': 5, 'cold_s': 2}


@pytest.fixture
def cluster(tmp_path: Path):
    """Run control hosts and three nodes; plan a target beside one node."""
    planned = Cluster(tmp_path)
    nodes = [planned.add_node(f'node-{index}', 'ijmuiden') for index in '012']
    planned.add_target(
        nodes[0],
        team='vlotwacht',
        service='certificates',
        **TARGET_PLAN,
    )
    for name in planned.control_peers:
        planned.start_control(name)
    for node in nodes:
        planned.start_node(node)
    yield planned
    planned.stop()


async def _stats(session: aiohttp.ClientSession, cluster: Cluster) -> Any:
    plan = next(iter(cluster.targets.values()))
    url = f'http://{plan.host}:{plan.port}/_stats'
    try:
        async with session.get(url) as response:
            return await response.json()
    except aiohttp.ClientError:
        return None


async def _send_until_stopped(
    session: aiohttp.ClientSession,
    url: str,
    stopped: asyncio.Event,
) -> None:
    while not stopped.is_set():
        headers = {'Host': HOST, 'X-Execution-Id': 'load'}
        async with session.get(url, headers=headers) as response:
            await response.read()
        if response.status != 200:
            await asyncio.sleep(0.02)


async def test_several_nodes_do_not_overload_a_cold_target(cluster):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await configure(session, cluster.api, cold_start_s=2.5)
        for node in cluster.nodes.values():
            url = f'{node.url}/a'
            await wait_until(
                partial(answers_with_status, session, url, HOST, 503)
            )
        stopped = asyncio.Event()
        senders = [
            asyncio.create_task(
                _send_until_stopped(session, f'{node.url}/a', stopped)
            )
            for node in cluster.nodes.values()
            for _ in range(SENDERS_PER_NODE)
        ]
        cluster.start_target(next(iter(cluster.targets.values())))

        async def at_full_load() -> bool:
            stats = await _stats(session, cluster)
            return stats is not None and stats['peak'] == TARGET_PLAN['slots']

        await wait_until(at_full_load, 30)
        stopped.set()
        await asyncio.gather(*senders)
        stats = await _stats(session, cluster)
    assert stats['executions']['load'] > 100
    assert stats['peak_cold'] <= TARGET_PLAN['cold_slots']
    assert stats['overruns'] == 0
