"""Cost of whole node processes at rest, against their number."""

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

from standins.cluster import Cluster, answers, wait_until

SECONDS = 10
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


async def _run(folder: Path, count: int) -> str:
    cluster = Cluster(folder)
    for index in range(count):
        cluster.add_node(f'node-{index}', f'dc-{index % 6}', log_level='ERROR')
    cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            url = f'{cluster.api}/v1/status'
            await wait_until(lambda: answers(session, url, ''))
        await asyncio.sleep(SETTLE_S)
        nodes = [
            psutil.Process(cluster.processes[name].pid)
            for name in cluster.nodes
        ]
        before = [node.cpu_times() for node in nodes]
        await asyncio.sleep(SECONDS)
        after = [node.cpu_times() for node in nodes]
        memory = [node.memory_full_info() for node in nodes]
    finally:
        cluster.stop()
    used = [
        (late.user + late.system - early.user - early.system) / SECONDS * 1000
        for early, late in zip(before, after, strict=True)
    ]
    rss = statistics.median(found.rss for found in memory) / 2**20
    unshared = statistics.median(found.uss for found in memory) / 2**20
    return (
        f'{count:3} nodes at rest: '
        f'cpu {statistics.mean(used):.1f} ms/s a node, '
        f'resident {rss:.1f} MB, of which unshared {unshared:.1f} MB'
    )


def _resident(code: str) -> float:
    """Return the resident MB of a process after some imports."""
    script = (
        f'{code}\nimport pathlib\n'
        "text = pathlib.Path('/proc/self/status').read_text()\n"
        "print(text.split('VmRSS:')[1].split()[0])"
    )
    found = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(found.stdout) / 1024


def measure_processes(counts: tuple[int, ...]) -> Iterator[str]:
    """Measure nodes at rest, and what their imports take."""
    for name, code in IMPORTS:
        yield f'{name}: {_resident(code):.1f} MB resident after imports'
    for count in counts:
        with tempfile.TemporaryDirectory() as folder:
            yield asyncio.run(_run(Path(folder), count))
