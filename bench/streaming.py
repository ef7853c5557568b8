"""Measures small calls through two nodes, alone and beside large bodies.

Reports the latency of the small calls with and without the large bodies, and
the nodes' resident memory while large bodies stream in both directions.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from functools import partial
from pathlib import Path
from statistics import median, quantiles
from typing import Final

import aiohttp
import psutil

from bench.path import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until

MB: Final = 1024 * 1024
MS_PER_S: Final = 1000
CHUNK: Final = b'x' * 65536
HEADERS: Final = {'Host': HOST}
SMALL_PATH: Final = '/a?ms=0.001&size=1024'


class StreamingBench:
    """Makes small and large calls to the far node, which has no target."""

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession):
        """Look up the URL of the far node and the processes of both nodes."""
        self._session = session
        self._url = cluster.nodes['far'].url
        self._processes = {
            name: psutil.Process(cluster.processes[name].pid)
            for name in ('near', 'far')
        }
        self._peak: dict[str, float] = {}

    async def run_small_calls(self, rate: float, seconds: float) -> str:
        """Make small calls at a steady rate; return their formatted latency."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        calls = []
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0, start + index / rate - loop.time()))
            calls.append(asyncio.create_task(self._make_small_call()))
            self._update_peak_memory()
        latencies_ms = await asyncio.gather(*calls)
        p99 = quantiles(latencies_ms, n=100)[98]
        return f'p50 {median(latencies_ms):.2f} ms, p99 {p99:.2f} ms'

    async def stream_large_bodies(self, size: int) -> None:
        """Fetch large answers and send large bodies until cancelled."""
        while True:
            await asyncio.gather(self._fetch(size), self._send(size))

    def peak_memory(self) -> str:
        """Format the peak resident memory of each node."""
        self._update_peak_memory()
        return ', '.join(
            f'{name} {peak:.1f} MB' for name, peak in self._peak.items()
        )

    def reset_peak_memory(self) -> None:
        """Discard the peak memory measured so far."""
        self._peak.clear()

    def _update_peak_memory(self) -> None:
        for name, process in self._processes.items():
            size = process.memory_info().rss / MB
            self._peak[name] = max(self._peak.get(name, 0), size)

    async def _make_small_call(self) -> float:
        start = time.perf_counter()
        url = f'{self._url}{SMALL_PATH}'
        async with self._session.get(url, headers=HEADERS) as response:
            body = await response.read()
            assert response.status == 200, body
        return (time.perf_counter() - start) * MS_PER_S

    async def _fetch(self, size: int) -> None:
        url = f'{self._url}/chapter?ms=0.001&size={size}'
        received = 0
        async with self._session.get(url, headers=HEADERS) as response:
            async for chunk in response.content.iter_any():
                received += len(chunk)
        assert received == size, (received, response.status)

    async def _send(self, size: int) -> None:
        async def chunks():
            for _ in range(size // len(CHUNK)):
                yield CHUNK

        url = f'{self._url}/scan?ms=0.001'
        async with self._session.post(
            url,
            headers=HEADERS,
            data=chunks(),
        ) as response:
            text = await response.text()
        assert text.split()[-1] == str(size // len(CHUNK) * len(CHUNK)), text


async def _run(cluster: Cluster, options: argparse.Namespace) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await configure(session, cluster.api)
        url = cluster.nodes['far'].url
        await wait_until(
            partial(answers_with_status, session, f'{url}/a', HOST)
        )
        bench = StreamingBench(cluster, session)
        await bench.run_small_calls(options.rate, 1)
        bench.reset_peak_memory()
        alone = await bench.run_small_calls(options.rate, options.seconds)
        print(f'small calls alone: {alone}; memory {bench.peak_memory()}')
        large_task = asyncio.create_task(
            bench.stream_large_bodies(options.megabytes * MB)
        )
        alongside = await bench.run_small_calls(options.rate, options.seconds)
        print(
            f'small calls alongside large bodies: {alongside}; '
            f'memory {bench.peak_memory()}'
        )
        if large_task.done():
            large_task.result()
        large_task.cancel()


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=100)
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--megabytes', type=int, default=50)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        near = cluster.add_node('near', 'ijmuiden')
        cluster.add_node('far', 'ijmuiden')
        cluster.add_target(near, team='vlotwacht', service='certificates')
        cluster.start()
        try:
            asyncio.run(_run(cluster, options))
        finally:
            cluster.stop()


if __name__ == '__main__':
    main()
