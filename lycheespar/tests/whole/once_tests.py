"""Requests that may not be repeated, with processes that are killed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.whole.service import HOST, configure
from standins.cluster import Cluster, answers, wait_until

REQUESTS = 60
COPIES = 3


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


async def _book(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
) -> tuple[str, str]:
    """Send one copy; return the key and how it ended."""
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


async def _kill(cluster: Cluster, dice: random.Random) -> None:
    """Kill and restart a node and a control host, twice."""
    for _ in range(2):
        await asyncio.sleep(0.7)
        node = dice.choice(list(cluster.nodes.values()))
        cluster.processes[node.name].kill()
        name = dice.choice(list(cluster.control_peers))
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
    dice = random.Random(5)
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api, ({'idempotent': False},))
        for node in cluster.nodes.values():
            await wait_until(partial(answers, session, node.url, HOST))
        killing = asyncio.create_task(_kill(cluster, dice))
        urls = [node.url for node in cluster.nodes.values()]

        async def caller(number: int) -> list[tuple[str, str]]:
            await asyncio.sleep(dice.uniform(0, 3))
            ended = []
            for _ in range(COPIES):
                url = dice.choice(urls)
                ended.append(await _book(session, url, f'k{number}'))
                await asyncio.sleep(dice.uniform(0, 0.5))
            return ended

        found = await asyncio.gather(*map(caller, range(REQUESTS)))
        await killing
        executions = await _executions(session, cluster)
        executions.pop('', None)
        answered = {
            key for ends in found for key, end in ends if end == 'answered'
        }
        assert max(executions.values()) == 1
        assert answered <= set(executions)
        assert len(answered) > REQUESTS / 2
        for ends in found:
            if {end for _, end in ends} == {'not run'}:
                assert not executions[ends[0][0]]
        print(Counter(end for ends in found for _, end in ends))
