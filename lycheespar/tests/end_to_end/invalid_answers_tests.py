"""Targets that send invalid answers, behind three nodes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until
from standins.target import TargetPlan

HEADERS = {'Host': HOST}
INVALID_ANSWERS = (
    b'HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello',
    b'HTTP/1.1 600 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nhello\r\n0\r\n\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    b'RTSP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello',
    b'HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhelloworld',
    b'HTTP/1.1 200 OK\r\n X-Any: a\r\nContent-Length: 5\r\n\r\nhello',
    b'HTTP/1.1 200 OK\r\nX-Any: a\x01b\r\nContent-Length: 5\r\n\r\nhello',
    b'HTTP/1.1 200 OK\r\nX-Any: a\x7fb\r\n\r\n' + b'x' * 1000,
)
REQUESTS = 36


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """Run three nodes in one data centre, each with its target."""
    planned = Cluster(tmp_path)
    for index in range(3):
        node = planned.add_node(f'node-{index}', 'ijmuiden')
        planned.add_target(node, team='vlotwacht', service='certificates')
    try:
        planned.start()
        await _configure(planned)
        yield planned
    finally:
        planned.stop()


async def _configure(cluster: Cluster) -> None:
    """Configure the service and wait until all nodes serve it."""
    routes = ({'method': 'GET', 'idempotent': True}, {'idempotent': False})
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api, routes, cold_start_s=0)
        for node in cluster.nodes.values():
            await wait_until(
                partial(answers_with_status, session, f'{node.url}/a', HOST)
            )


async def _answer_with(
    session: aiohttp.ClientSession, target: TargetPlan, raw_answer: bytes
) -> None:
    """Set the bytes with which a target answers; none for proper answers."""
    url = f'http://{target.host}:{target.port}/_set'
    parameters = {'raw_answer': raw_answer.decode('latin-1')}
    async with session.get(url, params=parameters) as response:
        assert response.status == 200


async def _runs(session: aiohttp.ClientSession, target: TargetPlan) -> int:
    url = f'http://{target.host}:{target.port}/_stats'
    async with session.get(url) as response:
        return sum((await response.json())['executions'].values())


async def test_callers_get_an_error_for_an_invalid_answer(cluster):
    """They got status 000, cut bodies, or no answer at all."""
    async with aiohttp.ClientSession() as session:
        for raw_answer in INVALID_ANSWERS:
            for target in cluster.targets.values():
                await _answer_with(session, target, raw_answer)
            for node in cluster.nodes.values():
                for method in ('GET', 'POST'):
                    async with session.request(
                        method, f'{node.url}/a', headers=HEADERS
                    ) as response:
                        problem = await response.json(content_type=None)
                        assert response.status == 502, raw_answer
                        assert problem['code'] == 'invalid_answer'
        for target in cluster.targets.values():
            await _answer_with(session, target, b'')
        for node in cluster.nodes.values():
            await wait_until(
                partial(answers_with_status, session, f'{node.url}/a', HOST)
            )


@pytest.mark.parametrize('raw_answer', INVALID_ANSWERS)
async def test_a_target_with_invalid_answers_draws_no_more_than_its_share(
    cluster, raw_answer
):
    """It counted as quick and idle, and got most requests."""
    async with aiohttp.ClientSession() as session:
        broken = next(iter(cluster.targets.values()))
        await _answer_with(session, broken, raw_answer)
        before = await _runs(session, broken)
        statuses = []
        for _ in range(REQUESTS // len(cluster.nodes)):
            for node in cluster.nodes.values():
                async with session.get(
                    f'{node.url}/a', headers=HEADERS
                ) as response:
                    await response.read()
                    statuses.append(response.status)
            await asyncio.sleep(0.05)
        runs = await _runs(session, broken) - before
        assert set(statuses) <= {200, 502}
        assert runs <= REQUESTS / len(cluster.nodes)


async def test_an_answer_with_a_value_that_is_not_utf_8_arrives(cluster):
    """Only callers beside the target got it; other channels were lost."""
    raw_answer = (
        b'HTTP/1.1 200 OK\r\nX-Any: \xe9\r\nContent-Length: 5\r\n\r\nhello'
    )
    async with aiohttp.ClientSession() as session:
        for target in cluster.targets.values():
            await _answer_with(session, target, raw_answer)
        for node in list(cluster.nodes.values()) * 4:
            async with session.post(
                f'{node.url}/a', headers=HEADERS
            ) as response:
                assert await response.read() == b'hello'
                assert response.status == 200
                assert response.headers['X-Any'] == '\u00e9'
