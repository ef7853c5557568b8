"""A request that crashes its targets is refused; others are still served."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, NodePlan, answers_with_status, wait_until

CRASH_PATH = '/chapter?crash=1'
CODE_HEADER = 'X-Lycheespar-Code'
# Crashes after which a request is refused.
CRASH_LIMIT = 2
# Time in seconds within which a crash is known to all nodes by gossip.
SPREAD_S = 1


@pytest.fixture
def cluster(tmp_path: Path):
    """Run three nodes, each with its target."""
    planned = Cluster(tmp_path, control_hosts=1)
    for index in range(3):
        node = planned.add_node(f'node-{index}', 'ijmuiden')
        planned.add_target(node, team='vlotwacht', service='certificates')
    planned.start()
    yield planned
    planned.stop()


class _Supervisor:
    """Restarts targets that have exited and counts the exits."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.crashes = 0

    async def run(self) -> None:
        while True:
            for name, plan in self._cluster.targets.items():
                if not self._cluster.processes[name].running:
                    self.crashes += 1
                    self._cluster.start_target(plan)
            await asyncio.sleep(0.1)


async def _get(session: aiohttp.ClientSession, url: str) -> tuple[int, str]:
    async with session.get(url, headers={'Host': HOST}) as response:
        await response.read()
        return response.status, response.headers.get(CODE_HEADER, '')


async def _all_nodes_refuse(
    session: aiohttp.ClientSession,
    nodes: tuple[NodePlan, ...],
) -> bool:
    """Send the request to each node, with time for gossip in between."""
    found = []
    for node in nodes:
        found.append(await _get(session, f'{node.url}{CRASH_PATH}'))
        await asyncio.sleep(SPREAD_S)
    return set(found) == {(503, 'crash_suspect')}


async def test_a_crashing_request_is_refused_by_all_nodes(cluster):
    supervisor = _Supervisor(cluster)
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        for node in cluster.nodes.values():
            url = f'{node.url}/a'
            await wait_until(partial(answers_with_status, session, url, HOST))
        supervision = asyncio.create_task(supervisor.run())
        nodes = tuple(cluster.nodes.values())
        # A request that no target could run, because all were restarting, is
        # not counted as a crash; a further round is needed then.
        await wait_until(partial(_all_nodes_refuse, session, nodes))
        for node in nodes:
            found = await _get(session, f'{node.url}{CRASH_PATH}')
            assert found == (503, 'crash_suspect')
        for node in cluster.nodes.values():
            url = f'{node.url}/chapter'
            await wait_until(partial(answers_with_status, session, url, HOST))
        supervision.cancel()
        assert supervisor.crashes <= CRASH_LIMIT
