"""Large bodies, truncated answers and cancelled calls through two nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import aiohttp
import psutil
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until

HEADERS = {'Host': HOST}
MB = 1024 * 1024


@pytest.fixture
async def cluster_and_session(tmp_path: Path):
    """Run a target beside node `near`, and node `far` without a target."""
    cluster = Cluster(tmp_path)
    near = cluster.add_node('near', 'ijmuiden')
    cluster.add_node('far', 'ijmuiden')
    cluster.add_target(near, team='vlotwacht', service='certificates')
    cluster.start()
    async with aiohttp.ClientSession() as session:
        routes = ({'idempotent': True},)
        await configure(session, cluster.api, routes, cold_start_s=0)
        url = f'{cluster.nodes["far"].url}/a'
        await wait_until(partial(answers_with_status, session, url, HOST))
        yield cluster, session
    cluster.stop()


def _node_and_target_urls(cluster: Cluster) -> tuple[str, str]:
    (target,) = cluster.targets.values()
    direct = f'http://{target.host}:{target.port}'
    return cluster.nodes['far'].url, direct


async def _stats(session: aiohttp.ClientSession, direct: str) -> dict:
    async with session.get(f'{direct}/_stats') as response:
        return await response.json()


async def test_large_bodies_are_streamed_in_bounded_memory(cluster_and_session):
    cluster, session = cluster_and_session
    url, _ = _node_and_target_urls(cluster)
    process = psutil.Process(cluster.processes['far'].pid)
    before = process.memory_info().rss
    size_sent = 32 * MB
    peak: list[int] = []

    async def chunks():
        for _ in range(size_sent // 65536):
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
        target = f'{url}/chapter?ms=1&size={size_sent}'
        async with session.get(target, headers=HEADERS) as response:
            received = len(await response.content.readany())
            # A slow caller: nodes must not buffer the rest of the answer.
            await asyncio.sleep(1)
            peak.append(process.memory_info().rss)
            async for chunk in response.content.iter_any():
                received += len(chunk)
            return received

    uploaded, downloaded = await asyncio.gather(upload(), download())
    assert uploaded.split() == [str(size_sent)]
    assert downloaded == size_sent
    assert max(*peak, process.memory_info().rss) - before < 16 * MB


async def test_a_truncated_answer_is_never_passed_on_as_complete(
    cluster_and_session,
):
    cluster, session = cluster_and_session
    url, direct = _node_and_target_urls(cluster)
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


@pytest.mark.parametrize('entry', ['near', 'far'])
async def test_an_answer_that_stalls_ends_at_its_deadline(
    cluster_and_session, entry
):
    """Callers waited for 20 s, and the target's slot was taken as long."""
    cluster, session = cluster_and_session
    _, direct = _node_and_target_urls(cluster)
    url = f'{cluster.nodes[entry].url}/a?ms=1&size={2 * MB}'
    await wait_until(partial(answers_with_status, session, url, HOST))
    async with session.get(f'{direct}/_set?stalling=1') as response:
        assert response.status == 200
    before = (await _stats(session, direct))['cancelled']
    async with asyncio.timeout(10):
        async with session.get(url, headers=HEADERS) as response:
            assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                await response.read()

        async def cancelled() -> bool:
            stats = await _stats(session, direct)
            return stats['cancelled'] > before

        await wait_until(cancelled, 10)
    async with session.get(f'{direct}/_set?stalling=0') as response:
        assert response.status == 200
    async with session.get(url, headers=HEADERS) as response:
        assert len(await response.read()) == 2 * MB


async def test_a_disconnected_caller_cancels_its_call_at_the_target(
    cluster_and_session,
):
    cluster, session = cluster_and_session
    url, direct = _node_and_target_urls(cluster)
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
