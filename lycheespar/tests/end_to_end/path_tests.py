"""Calls through nodes to targets in two data centres."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import (
    Cluster,
    answers_with_status,
    submit_configuration_change,
    wait_until,
)


@pytest.fixture
def cluster(tmp_path: Path):
    """Run two nodes in two data centres, each with its target."""
    planned = Cluster(tmp_path)
    for index, data_centre in enumerate(('ijmuiden', 'rotterdam')):
        node = planned.add_node(f'node-{index}', data_centre)
        planned.add_target(node, team='vlotwacht', service='certificates')
    planned.start()
    yield planned
    planned.stop()


async def _serving_data_centre(session: aiohttp.ClientSession, url: str) -> str:
    headers = {'Host': HOST, 'X-Execution-Id': 'one'}
    async with session.get(f'{url}/a?size=5000', headers=headers) as response:
        body = await response.read()
        assert response.status == 200, body
        assert len(body) == 5000
        assert body.startswith(b'one ')
        return response.headers['X-Data-Centre']


async def test_each_node_returns_a_complete_answer(cluster):
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        for node in cluster.nodes.values():
            url = f'{node.url}/a'
            await wait_until(partial(answers_with_status, session, url, HOST))
            await _serving_data_centre(session, node.url)


async def test_a_data_centre_that_is_out_gets_no_calls(cluster):
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        node = cluster.nodes['node-0']
        for other in cluster.nodes.values():
            url = f'{other.url}/a'
            await wait_until(partial(answers_with_status, session, url, HOST))
        revision = await submit_configuration_change(
            session, cluster.api, 'take_out_data_centre', name='ijmuiden'
        )

        async def in_force() -> bool:
            async with session.get(f'{cluster.api}/v1/status') as response:
                status = await response.json()
            return status.get('accepted') == revision and set(
                status.get('confirmed', ()),
            ) == set(cluster.nodes)

        await wait_until(in_force)
        served = {
            await _serving_data_centre(session, node.url) for _ in range(20)
        }
        assert served == {'rotterdam'}
