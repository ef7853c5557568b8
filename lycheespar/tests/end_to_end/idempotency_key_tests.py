"""Requests with idempotency keys run once while processes are killed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until

REQUESTS = 60
SENDS_PER_REQUEST = 3


@pytest.fixture
def cluster(tmp_path: Path):
    """Run three control hosts and three nodes, each with its target."""
    planned = Cluster(tmp_path, control_hosts=3)
    for index in range(3):
        node = planned.add_node(f'node-{index}', 'ijmuiden')
        planned.add_target(
            node,
            team='vlotwacht',
            service='certificates',
            service_ms=20,
        )
    planned.start()
    yield planned
    planned.stop()


async def _send_keyed(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
) -> tuple[str, str]:
    """Send the request with a key once; return the key and the outcome."""
    headers = {'Host': HOST, 'Idempotency-Key': key, 'X-Execution-Id': key}
    try:
        async with session.post(f'{url}/{key}', headers=headers) as response:
            content = await response.read()
            if response.status == 200:
                return key, 'answered'
            if b'"outcome":"not_run"' in content:
                return key, 'not run'
            return key, 'unknown'
    except (aiohttp.ClientError, OSError):
        return key, 'lost'


async def _kill_and_restart(cluster: Cluster, rng: random.Random) -> None:
    """Kill and restart a random node and a random control host, twice."""
    for _ in range(2):
        await asyncio.sleep(0.7)
        node = rng.choice(list(cluster.nodes.values()))
        cluster.processes[node.name].kill()
        name = rng.choice(list(cluster.control_peers))
        cluster.processes[name].kill()
        await asyncio.sleep(0.3)
        cluster.start_node(node)
        cluster.start_control(name)


async def _executions(
    session: aiohttp.ClientSession,
    cluster: Cluster,
) -> Counter[str]:
    counted: Counter[str] = Counter()
    for target in cluster.targets.values():
        url = f'http://{target.host}:{target.port}/_stats'
        async with session.get(url) as response:
            counted.update((await response.json())['executions'])
    return counted


async def test_keyed_requests_run_once_while_processes_are_killed(cluster):
    rng = random.Random(5)
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api, ({'idempotent': False},))
        for node in cluster.nodes.values():
            await wait_until(
                partial(answers_with_status, session, node.url, HOST)
            )
        kills = asyncio.create_task(_kill_and_restart(cluster, rng))
        urls = [node.url for node in cluster.nodes.values()]

        async def send_repeatedly(number: int) -> list[tuple[str, str]]:
            await asyncio.sleep(rng.uniform(0, 3))
            outcomes = []
            for _ in range(SENDS_PER_REQUEST):
                url = rng.choice(urls)
                outcomes.append(await _send_keyed(session, url, f'k{number}'))
                await asyncio.sleep(rng.uniform(0, 0.5))
            return outcomes

        results = await asyncio.gather(*map(send_repeatedly, range(REQUESTS)))
        await kills
        executions = await _executions(session, cluster)
        executions.pop('', None)
        answered = {
            key
            for outcomes_of_key in results
            for key, outcome in outcomes_of_key
            if outcome == 'answered'
        }
        assert max(executions.values()) == 1
        assert answered <= set(executions)
        assert len(answered) > REQUESTS / 2
        for outcomes_of_key in results:
            if {outcome for _, outcome in outcomes_of_key} == {'not run'}:
                assert not executions[outcomes_of_key[0][0]]
        print(
            Counter(
                outcome
                for outcomes_of_key in results
                for _, outcome in outcomes_of_key
            )
        )
