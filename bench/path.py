"""Measures latency and processor time that one and two nodes add to a call.

There are one client and one target. Direct calls, calls through the target's
own node and calls that also pass a second node take turns in short windows.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from statistics import median, quantiles
from typing import Final

import aiohttp
import msgspec
import psutil

from standins.cluster import (
    Cluster,
    answers_with_status,
    submit_configuration_change,
    wait_until,
)

HOST: Final = 'certificates.vlotwacht'
PATH: Final = '/a?ms=0.001&size=1024'
MS_PER_S: Final = 1000
US_PER_S: Final = 1_000_000
MB: Final = 1024 * 1024


class Window(msgspec.Struct):
    """Measurements of one window of calls over one path.

    Attributes
    ----------
    latencies_ms : list[float]
        Time of each call in milliseconds.
    cpu_us : dict[str, float]
        Processor time per call by process, in microseconds.
    """

    latencies_ms: list[float]
    cpu_us: dict[str, float]

    @property
    def p50(self) -> float:
        """Median latency in milliseconds."""
        return median(self.latencies_ms)

    @property
    def p99(self) -> float:
        """99th percentile of the latency in milliseconds."""
        return quantiles(self.latencies_ms, n=100)[98]


class PathBench:
    """Runs windows of calls against a running cluster.

    The target belongs to the near node. The far node has no target and sends
    its calls to the near node.
    """

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession):
        """Collect the URL of each path and the processes to measure."""
        self._session = session
        target = next(iter(cluster.targets.values()))
        near, far = cluster.nodes.values()
        self.urls = {
            'direct': f'http://{target.host}:{target.port}{PATH}',
            'one node': f'{near.url}{PATH}',
            'two nodes': f'{far.url}{PATH}',
        }
        self.processes = {
            'near': psutil.Process(cluster.processes[near.name].pid),
            'far': psutil.Process(cluster.processes[far.name].pid),
            'target': psutil.Process(cluster.processes[target.name].pid),
        }

    def memory(self) -> str:
        """Format the resident memory of each process."""
        return ', '.join(
            f'{name} {process.memory_info().rss / MB:.1f} MB'
            for name, process in self.processes.items()
        )

    async def measure_window(
        self, path: str, rate: float, seconds: float
    ) -> Window:
        """Make calls at a steady rate, without waiting for earlier answers."""
        before = {
            name: _cpu_s(process) for name, process in self.processes.items()
        }
        count = int(rate * seconds)
        loop = asyncio.get_running_loop()
        start = loop.time()
        calls = []
        for index in range(count):
            delay = start + index / rate - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            calls.append(asyncio.create_task(self._call(self.urls[path])))
        latencies_ms = await asyncio.gather(*calls)
        cpu_us = {
            name: (_cpu_s(process) - before[name]) * US_PER_S / count
            for name, process in self.processes.items()
        }
        return Window(list(latencies_ms), cpu_us)

    async def _call(self, url: str) -> float:
        start = time.perf_counter()
        async with self._session.get(url, headers={'Host': HOST}) as response:
            body = await response.read()
            assert response.status == 200, body
            assert len(body) == 1024
        return (time.perf_counter() - start) * MS_PER_S


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def configure(session: aiohttp.ClientSession, api: str) -> None:
    """Store the template and the team of the benchmark."""
    await wait_until(
        lambda: answers_with_status(session, f'{api}/v1/configuration', ''),
    )
    template = {'name': 'delivery', 'routes': [{'idempotent': True}]}
    await submit_configuration_change(
        session, api, 'put_template', template=template
    )
    parameters = {'cold_start_s': 0, 'cold_share': 1, 'queue_ms': 2000}
    service = {'template': 'delivery', 'parameters': parameters}
    services = {'certificates': service}
    team = {'name': 'vlotwacht', 'services': services}
    await submit_configuration_change(session, api, 'put_team', team=team)


def plan_cluster(folder: Path) -> Cluster:
    """Plan one target, its node and a node without a target."""
    cluster = Cluster(folder)
    near = cluster.add_node('near', 'ijmuiden')
    cluster.add_node('far', 'ijmuiden')
    cluster.add_target(
        near,
        team='vlotwacht',
        service='certificates',
        slots=64,
    )
    return cluster


async def _run(
    cluster: Cluster,
    rates: list[int],
    rounds: int,
    seconds: float,
) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await configure(session, cluster.api)
        bench = PathBench(cluster, session)
        for url in bench.urls.values():
            await wait_until(partial(answers_with_status, session, url, HOST))
        print(f'memory when idle: {bench.memory()}')
        for path in bench.urls:
            await bench.measure_window(path, 200, 1)
        for rate in rates:
            await _report(bench, rate, rounds, seconds)
        print(f'memory after load: {bench.memory()}')


async def _report(
    bench: PathBench,
    rate: int,
    rounds: int,
    seconds: float,
) -> None:
    windows: dict[str, list[Window]] = {path: [] for path in bench.urls}
    order = list(bench.urls)
    for _ in range(rounds):
        random.shuffle(order)
        for path in order:
            windows[path].append(
                await bench.measure_window(path, rate, seconds)
            )
    print(f'{rate} calls/s, {rounds} rounds of {seconds:g} s for each path')
    for path, measured in windows.items():
        print(f'  {path: <10}{_summary(measured, windows["direct"])}')


def _summary(measured: list[Window], direct: list[Window]) -> str:
    def added(quantile: Callable[[Window], float]) -> float:
        """Return the median difference to the direct calls."""
        pairs = zip(measured, direct, strict=True)
        return median(
            quantile(window) - quantile(direct_window)
            for window, direct_window in pairs
        )

    cpu = ' '.join(
        f'{name} {median(window.cpu_us[name] for window in measured):.0f}'
        for name in measured[0].cpu_us
    )
    return (
        f'p50 {median(window.p50 for window in measured):6.2f} ms '
        f'(+{added(lambda window: window.p50):5.2f})  '
        f'p99 {median(window.p99 for window in measured):6.2f} ms '
        f'(+{added(lambda window: window.p99):5.2f})  CPU us per call: {cpu}'
    )


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rates', type=int, nargs='+', default=[40, 200, 800])
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = plan_cluster(Path(folder))
        cluster.start()
        try:
            asyncio.run(
                _run(
                    cluster,
                    options.rates,
                    options.rounds,
                    options.seconds,
                ),
            )
        finally:
            cluster.stop()
