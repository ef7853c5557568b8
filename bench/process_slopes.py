"""Measures the cost of idle node processes, by their number."""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import psutil

from standins.cluster import Cluster, answers_with_status, wait_until

RUN_S = 10
SETTLE_S = 10
IMPORTS = (
    ('interpreter', ''),
    (
        'request path',
        'import uvloop, lycheespar.ingress.server, lycheespar.routing.router, '
        'lycheespar.protocol.server, lycheespar.admission.executor, '
        'lycheespar.targets.api',
    ),
    ('whole node', 'import uvloop, lycheespar.app'),
)


async def _measure_idle(folder: Path, count: int) -> str:
    cluster = Cluster(folder)
    for index in range(count):
        cluster.add_node(f'node-{index}', f'dc-{index % 6}', log_level='ERROR')
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            url = f'{cluster.api}/v1/status'
            await wait_until(lambda: answers_with_status(session, url, ''))
        await asyncio.sleep(SETTLE_S)
        nodes = [
            psutil.Process(cluster.processes[name].pid)
            for name in cluster.nodes
        ]
        before = [node.cpu_times() for node in nodes]
        await asyncio.sleep(RUN_S)
        after = [node.cpu_times() for node in nodes]
        memory = [node.memory_full_info() for node in nodes]
    finally:
        cluster.stop()
    cpu_ms = [
        (end.user + end.system - start.user - start.system) / RUN_S * 1000
        for start, end in zip(before, after, strict=True)
    ]
    rss = statistics.median(info.rss for info in memory) / 2**20
    unshared = statistics.median(info.uss for info in memory) / 2**20
    return (
        f'{count:3} idle nodes: '
        f'cpu {statistics.mean(cpu_ms):.1f} ms/s per node, '
        f'resident {rss:.1f} MB, of which unshared {unshared:.1f} MB'
    )


def _resident_mb(code: str) -> float:
    """Return the resident memory, in MB, of a process that runs some code."""
    script = (
        f'{code}\nimport pathlib\n'
        "text = pathlib.Path('/proc/self/status').read_text()\n"
        "print(text.split('VmRSS:')[1].split()[0])"
    )
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(completed.stdout) / 1024


def measure_processes(counts: tuple[int, ...]) -> Iterator[str]:
    """Measure the memory taken by imports, and the cost of idle nodes."""
    for name, code in IMPORTS:
        yield f'{name}: {_resident_mb(code):.1f} MB resident after imports'
    for count in counts:
        with tempfile.TemporaryDirectory() as folder:
            yield asyncio.run(_measure_idle(Path(folder), count))
