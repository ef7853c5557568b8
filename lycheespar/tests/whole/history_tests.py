"""Histories of a cluster under faults: what was run where, and when."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import signal
import time
from contextlib import suppress
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.whole.service import HOST, configure
from standins.cluster import Cluster, answers, change, wait_until

OUT = 'ijmuiden'
STALE_AFTER_S = 4
# The bound of the nodes, and time for calls that were let in before it.
BOUND_S = STALE_AFTER_S + 2
FAULTS_S = 10
SAMPLE_S = 0.1
CALL_TIMEOUT_S = 3
# Line between the logs of two processes of one node.
RESTARTED = 'restarted'


class History:
    """Calls nodes all the time, and notes how many calls each target ran."""

    def __init__(
        self, cluster: Cluster, session: aiohttp.ClientSession
    ) -> None:
        self._cluster = cluster
        self._session = session
        self.samples: list[tuple[float, int]] = []
        self.answered = 0

    async def call(self, url: str) -> None:
        """Call a node again and again."""
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S)
        headers = {'Host': HOST}
        while True:
            with suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.get(
                    f'{url}/a', headers=headers, timeout=timeout
                ) as response:
                    await response.read()
                    self.answered += response.status == 200
            await asyncio.sleep(0.02)

    async def sample(self) -> None:
        """Note the calls that the targets of one data centre ran."""
        while True:
            ran = 0
            for plan in self._cluster.targets.values():
                if plan.data_centre != OUT:
                    continue
                url = f'http://{plan.host}:{plan.port}/_stats'
                async with self._session.get(url) as response:
                    stats = await response.json()
                ran += sum(stats['executions'].values())
            self.samples.append((time.monotonic(), ran))
            await asyncio.sleep(SAMPLE_S)


async def _disturb(cluster: Cluster, chooser: random.Random) -> None:
    """Stop, continue, kill and restart processes for a while."""
    ends_at = time.monotonic() + FAULTS_S
    while time.monotonic() < ends_at:
        name = chooser.choice([*cluster.nodes, *cluster.control_peers])
        process = cluster.processes[name]
        if chooser.random() < 0.3 and name in cluster.nodes:
            process.kill()
            with (cluster.folder / f'{name}.log').open('a') as log:
                log.write(f'{RESTARTED}\n')
            await asyncio.sleep(chooser.uniform(0, 1))
            cluster.start_node(cluster.nodes[name])
        else:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(chooser.uniform(0.5, 1.5 * STALE_AFTER_S))
            process.send(signal.SIGCONT)


def _revisions(log: Path) -> list[list[int]]:
    """Return the revisions that each process of a node had, in order."""
    runs: list[list[int]] = [[]]
    for line in log.read_text('utf-8').splitlines():
        found = re.search(r'Revision (\d+) is in force', line)
        if found:
            runs[-1].append(int(found[1]))
        elif line == RESTARTED:
            runs.append([])
    return runs


async def _take_out_and_return(
    cluster: Cluster,
    session: aiohttp.ClientSession,
    history: History,
    seed: int,
) -> None:
    await wait_until(lambda: history.samples and history.samples[-1][1])
    # This node misses the change, and wakes with calls in its sockets.
    frozen = cluster.processes['node-0']
    frozen.send(signal.SIGSTOP)
    await change(session, cluster.api, 'take_out_data_centre', name=OUT)
    accepted_at = time.monotonic()
    await asyncio.sleep(BOUND_S + 1)
    frozen.send(signal.SIGCONT)
    await _disturb(cluster, random.Random(seed))
    await asyncio.sleep(1)
    ran = [
        ran
        for sampled_at, ran in history.samples
        if sampled_at > accepted_at + BOUND_S
    ]
    assert len(set(ran)) == 1, ran
    await change(session, cluster.api, 'return_data_centre', name=OUT)
    await wait_until(lambda: history.samples[-1][1] > ran[-1])


@pytest.fixture
def cluster(tmp_path: Path):
    """Run three nodes, two of them in the data centre to take out."""
    planned = Cluster(tmp_path)
    for index, data_centre in enumerate((OUT, OUT, 'rotterdam')):
        node = planned.add_node(
            f'node-{index}', data_centre, stale_after_s=STALE_AFTER_S
        )
        planned.add_target(
            node, team='vlotwacht', service='certificates', lease_s=30
        )
    planned.start()
    yield planned
    planned.stop()


@pytest.mark.parametrize(
    'seed',
    [1, *(pytest.param(seed, marks=pytest.mark.soak) for seed in range(2, 7))],
)
async def test_a_data_centre_that_is_out_runs_nothing_under_faults(
    cluster,
    seed,
):
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        for node in cluster.nodes.values():
            url = f'{node.url}/a'
            await wait_until(partial(answers, session, url, HOST))
        history = History(cluster, session)
        tasks = [
            asyncio.create_task(history.call(node.url))
            for node in cluster.nodes.values()
            for _ in range(2)
        ]
        tasks.append(asyncio.create_task(history.sample()))
        try:
            await _take_out_and_return(cluster, session, history, seed)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    for name in cluster.nodes:
        for run in _revisions(cluster.folder / f'{name}.log'):
            assert all(one < two for one, two in itertools.pairwise(run))
