"""Graceful stops of nodes under load: no call is lost, cut off or repeated."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, Process, answers_with_status, wait_until

CALLERS = 12
STREAM_BYTES = 1_000_000
CALLS = ('GET /a', 'POST /book', f'GET /a?size={STREAM_BYTES}', 'PUT /up')
ROUTES = (
    {'path_prefix': '/a', 'idempotent': True},
    {'path_prefix': '/'},
)


class CallHistory:
    """Outcomes of the calls that concurrent callers made.

    Attributes
    ----------
    outcomes : Counter[str]
        How often each outcome occurred.
    sent : list[str]
        Execution ids of the calls that were sent to a node.
    stopped : bool
        Whether callers are to end.
    """

    def __init__(self) -> None:
        """Create a history without calls."""
        self.outcomes: Counter[str] = Counter()
        self.sent: list[str] = []
        self.stopped = False

    async def call_until_stopped(self, urls: Any, serial: Any) -> None:
        """Call the nodes in turn, over connections that are kept alive."""
        async with aiohttp.ClientSession() as session:
            # aiohttp would repeat some calls on connections that were closed.
            session._retry_connection = False
            for number in serial:
                if self.stopped:
                    return
                await self._call_any_node(session, urls, number)

    async def _call_any_node(
        self, session: Any, urls: Any, number: int
    ) -> None:
        execution = f'call-{number}'
        for url in itertools.islice(urls, 3):
            try:
                outcome = await self._send(session, url, number, execution)
            except aiohttp.ClientConnectorError:
                continue  # the port is closed, so that nothing was sent
            except (aiohttp.ClientError, OSError) as error:
                outcome = f'connection failed: {error!r}'
            self.outcomes[outcome] += 1
            self.sent.append(execution)
            return
        self.outcomes['no node accepted a connection'] += 1

    async def _send(
        self, session: Any, url: str, number: int, execution: str
    ) -> str:
        method, path = CALLS[number % len(CALLS)].split()
        headers = {'Host': HOST, 'X-Execution-Id': execution}
        body = b'x' * 200_000 if method == 'PUT' else None
        async with session.request(
            method, url + path, headers=headers, data=body
        ) as response:
            response_body = await response.read()
        if response.status != 200:
            return f'{method} {response.status} {response_body[:300]!r}'
        expected = f'{execution} {len(body or b"")} '.encode()
        size = STREAM_BYTES if 'size' in path else len(expected)
        complete = (
            response_body.startswith(expected) and len(response_body) == size
        )
        return 'complete' if complete else 'incomplete'


@pytest.fixture
def cluster(tmp_path: Path):
    """Run three nodes, each with its target."""
    planned = Cluster(tmp_path)
    for index in range(3):
        node = planned.add_node(f'node-{index}', 'ijmuiden', log_level='DEBUG')
        planned.add_target(
            node,
            team='vlotwacht',
            service='certificates',
            service_ms=10,
        )
    planned.start()
    yield planned
    planned.stop()


async def _wait_ready(session: Any, cluster: Cluster) -> None:
    await configure(session, cluster.api, ROUTES, cold_share=1)
    for node in cluster.nodes.values():
        url = f'{node.url}/a'
        await wait_until(partial(answers_with_status, session, url, HOST))


async def _executions(session: Any, cluster: Cluster) -> Counter[str]:
    executions: Counter[str] = Counter()
    for plan in cluster.targets.values():
        url = f'http://{plan.host}:{plan.port}/_stats'
        async with session.get(url) as response:
            executions.update((await response.json())['executions'])
    return executions


async def _wait_for_calls(history: CallHistory, calls: int) -> None:
    expected_count = len(history.sent) + calls
    await wait_until(lambda: len(history.sent) >= expected_count)


def _start_callers(history: CallHistory, cluster: Cluster) -> list[Any]:
    urls = [node.url for node in cluster.nodes.values()]
    serial = iter(itertools.count())
    return [
        asyncio.create_task(
            history.call_until_stopped(
                itertools.cycle(urls[first:] + urls[:first]), serial
            ),
        )
        for first in itertools.islice(itertools.cycle(range(3)), CALLERS)
    ]


async def _stop_gracefully(process: Process) -> None:
    process.send(signal.SIGTERM)
    await wait_until(lambda: not process.running)
    assert process.wait() == 0


async def test_a_rolling_restart_completes_every_request_once(cluster):
    history = CallHistory()
    async with aiohttp.ClientSession() as session:
        await _wait_ready(session, cluster)
        callers = _start_callers(history, cluster)
        await _wait_for_calls(history, 100)
        for name, node in cluster.nodes.items():
            await _stop_gracefully(cluster.processes[name])
            cluster.start_node(node)
            url = f'{node.url}/a'
            await wait_until(partial(answers_with_status, session, url, HOST))
            await _wait_for_calls(history, 100)
        history.stopped = True
        await asyncio.gather(*callers)
        executions = await _executions(session, cluster)
    assert set(history.outcomes) == {'complete'}, history.outcomes
    assert max(executions[name] for name in history.sent) == 1


async def test_a_node_completes_a_streamed_answer_before_it_stops(cluster):
    async with aiohttp.ClientSession() as session:
        await _wait_ready(session, cluster)
        node = cluster.nodes['node-0']
        size = 12_000_000
        headers = {'Host': HOST, 'X-Execution-Id': 'long'}
        async with session.get(
            f'{node.url}/a?size={size}', headers=headers
        ) as response:
            cluster.processes[node.name].send(signal.SIGTERM)
            received = 0
            async for chunk in response.content.iter_chunked(1_000_000):
                received += len(chunk)
                await asyncio.sleep(0.1)
        assert received == size
        process = cluster.processes[node.name]
        await wait_until(lambda: not process.running)
        assert process.wait() == 0
