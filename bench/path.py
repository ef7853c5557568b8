"""Latency and processor time that one and two nodes add to a call.

One client and one target; the direct call, the call through the target's own
node and the call through a second node take turns in short windows.
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

from standins.cluster import Cluster, answers, change, wait_until

HOST: Final = 'certificates.vlotwacht'
PATH: Final = '/a?ms=0.001&size=1024'
MS_PER_S: Final = 1000
US_PER_S: Final = 1_000_000
MB: Final = 1024 * 1024


class Window(msgspec.Struct):
    """What one window of calls on one way measured.

    Attributes
    ----------
    times_ms : list[float]
        Time of each call in milliseconds.
    cpu_us : dict[str, float]
        Processor time by process in microseconds a call.
    """

    times_ms: list[float]
    cpu_us: dict[str, float]

    @property
    def p50(self) -> float:
        """Median in milliseconds."""
        return median(self.times_ms)

    @property
    def p99(self) -> float:
        """99th percentile in milliseconds."""
        return quantiles(self.times_ms, n=100)[98]


class PathBench:
    """Runs the windows against a running cluster."""

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession):
        """Name the ways and the processes."""
        self._session = session
        target = next(iter(cluster.targets.values()))
        near, far = cluster.nodes.values()
        self.ways = {
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
        """Resident memory of each process."""
        return ', '.join(
            f'{name} {process.memory_info().rss / MB:.1f} MB'
            for name, process in self.processes.items()
        )

    async def window(self, way: str, rate: float, seconds: float) -> Window:
        """Call at a steady rate, without waiting for answers."""
        before = {name: _cpu_s(one) for name, one in self.processes.items()}
        count = int(rate * seconds)
        loop = asyncio.get_running_loop()
        start = loop.time()
        calls = []
        for index in range(count):
            delay = start + index / rate - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            calls.append(asyncio.create_task(self._call(self.ways[way])))
        times_ms = await asyncio.gather(*calls)
        cpu_us = {
            name: (_cpu_s(one) - before[name]) * US_PER_S / count
            for name, one in self.processes.items()
        }
        return Window(list(times_ms), cpu_us)

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
    """Put the template and the team of the benchmark in force."""
    await wait_until(
        lambda: answers(session, f'{api}/v1/configuration', ''),
    )
    template = {'name': 'delivery', 'routes': [{'idempotent': True}]}
    await change(session, api, 'put_template', template=template)
    parameters = {'cold_start_s': 0, 'cold_share': 1, 'queue_ms': 2000}
    service = {'template': 'delivery', 'parameters': parameters}
    services = {'certificates': service}
    team = {'name': 'vlotwacht', 'services': services}
    await change(session, api, 'put_team', team=team)


def plan(folder: Path) -> Cluster:
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


async def _bench(
    cluster: Cluster,
    rates: list[int],
    rounds: int,
    seconds: float,
) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await configure(session, cluster.api)
        bench = PathBench(cluster, session)
        for url in bench.ways.values():
            await wait_until(partial(answers, session, url, HOST))
        print(f'memory at rest: {bench.memory()}')
        for way in bench.ways:
            await bench.window(way, 200, 1)
        for rate in rates:
            await _report(bench, rate, rounds, seconds)
        print(f'memory after load: {bench.memory()}')


async def _report(
    bench: PathBench,
    rate: int,
    rounds: int,
    seconds: float,
) -> None:
    windows: dict[str, list[Window]] = {way: [] for way in bench.ways}
    order = list(bench.ways)
    for _ in range(rounds):
        random.shuffle(order)
        for way in order:
            windows[way].append(await bench.window(way, rate, seconds))
    print(f'{rate} calls/s, {rounds} rounds of {seconds:g} s a way')
    for way, measured in windows.items():
        print(f'  {way: <10}{_line(measured, windows["direct"])}')


def _line(measured: list[Window], direct: list[Window]) -> str:
    def added(quantile: Callable[[Window], float]) -> float:
        pairs = zip(measured, direct, strict=True)
        return median(quantile(one) - quantile(base) for one, base in pairs)

    cpu = ' '.join(
        f'{name} {median(one.cpu_us[name] for one in measured):.0f}'
        for name in measured[0].cpu_us
    )
    return (
        f'p50 {median(one.p50 for one in measured):6.2f} ms '
        f'(+{added(lambda one: one.p50):5.2f})  '
        f'p99 {median(one.p99 for one in measured):6.2f} ms '
        f'(+{added(lambda one: one.p99):5.2f})  CPU us a call: {cpu}'
    )


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rates', type=int, nargs='+', default=[40, 200, 800])
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = plan(Path(folder))
        cluster.start()
        try:
            asyncio.run(
                _bench(
                    cluster,
                    options.rates,
                    options.rounds,
                    options.seconds,
                ),
            )
        finally:
            cluster.stop()
