"""Large and cut bodies, and callers that leave, through two nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import aiohttp
import psutil
import pytest

from lycheespar.tests.whole.service import HOST, configure
from standins.cluster import Cluster, answers, wait_until

HEADERS = {'Host': HOST}
MB = 1024 * 1024


@pytest.fixture
async def far(tmp_path: Path):
    """Run a target, its node and a far node; yield the far node's cluster."""
    cluster = Cluster(tmp_path)
    near = cluster.add_node('near', 'ijmuiden')
    cluster.add_node('far', 'ijmuiden')
    cluster.add_target(near, team='vlotwacht', service='certificates')
    cluster.start()
    async with aiohttp.ClientSession() as session:
        routes = ({'idempotent': True},)
        await configure(session, cluster.api, routes, cold_start_s=0)
        url = f'{cluster.nodes["far"].url}/a'
        await wait_until(partial(answers, session, url, HOST))
        yield cluster, session
    cluster.stop()


def _urls(cluster: Cluster) -> tuple[str, str]:
    (target,) = cluster.targets.values()
    direct = f'http://{target.host}:{target.port}'
    return cluster.nodes['far'].url, direct


async def _stats(session: aiohttp.ClientSession, direct: str) -> dict:
    async with session.get(f'{direct}/_stats') as response:
        return await response.json()


async def test_large_bodies_stream_whole_in_bounded_memory(far):
    cluster, session = far
    url, _ = _urls(cluster)
    process = psutil.Process(cluster.processes['far'].pid)
    before = process.memory_info().rss
    sent = 32 * MB
    peak: list[int] = []

    async def chunks():
        for _ in range(sent // 65536):
            yield b'x' * 65536

    async def upload() -> str:
        target = f'{url}/scan?ms=1'
        async with session.post(
            target,
            headers=HEADERS,
            data=chunks(),
        ) as response:
            return await response.text()

    async def download() -> int:
        target = f'{url}/chapter?ms=1&size={sent}'
        async with session.get(target, headers=HEADERS) as response:
            received = len(await response.content.readany())
            await asyncio.sleep(1)  # a slow caller; nodes must not pile up
            peak.append(process.memory_info().rss)
            async for chunk in response.content.iter_any():
                received += len(chunk)
            return received

    uploaded, downloaded = await asyncio.gather(upload(), download())
    assert uploaded.split() == [str(sent)]
    assert downloaded == sent
    assert max(*peak, process.memory_info().rss) - before < 16 * MB


async def test_an_answer_that_its_target_cuts_is_never_whole(far):
    cluster, session = far
    url, direct = _urls(cluster)
    async with session.get(f'{direct}/_set?truncating=1') as response:
        assert response.status == 200
    for size in (20_000, 2 * MB):
        target = f'{url}/a?ms=1&size={size}'
        try:
            async with session.get(target, headers=HEADERS) as response:
                await response.read()
                assert response.status == 502
        except aiohttp.ClientError:
            assert size > 64 * 1024


async def test_a_caller_that_leaves_cancels_its_call_at_the_target(far):
    cluster, session = far
    url, direct = _urls(cluster)
    before = (await _stats(session, direct))['cancelled']
    task = asyncio.create_task(
        session.get(f'{url}/a?ms=30000', headers=HEADERS),
    )
    await asyncio.sleep(0.3)
    task.cancel()

    async def cancelled() -> bool:
        stats = await _stats(session, direct)
        return stats['cancelled'] > before

    await wait_until(cancelled, 10)
