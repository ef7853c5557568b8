"""Cost of pulls at a control host, as real processes."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import psutil
import zmq.asyncio

from lycheespar.config.options import Address
from lycheespar.control.link import ControlLink
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Pull,
    PullReply,
)
from standins.cluster import Cluster, answers, change, wait_until

SECONDS = 8
RATES = (50, 200)
WAITING = (0, 100, 400)


async def _measure(
    control: psutil.Process, seconds: float
) -> tuple[float, int]:
    """Return processor milliseconds a second and resident bytes."""
    before = control.cpu_times()
    await asyncio.sleep(seconds)
    after = control.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    return used_s / seconds * 1000, control.memory_info().rss


async def _pull_at(
    link: ControlLink[ControlRequest, ControlReply],
    rate: int,
) -> None:
    """Pull at once-answered requests, so many a second."""
    for number in range(1_000_000):
        asyncio.create_task(link.ask(Pull(f'n{number % 1500}', 9, 0), 5))
        await asyncio.sleep(1 / rate)


async def _wait_always(
    link: ControlLink[ControlRequest, ControlReply],
    node: str,
) -> None:
    """Pull again and again, as a follower does."""
    revision = 0
    while True:
        reply = await link.ask(Pull(node, revision, 8), 20)
        if isinstance(reply, PullReply):
            revision = reply.stamp.revision


async def _run(folder: Path) -> list[str]:
    cluster = Cluster(folder)
    cluster.start()
    context = zmq.asyncio.Context()
    lines: list[str] = []
    try:
        control = psutil.Process(cluster.processes['control-1'].pid)
        address = Address(*_split(cluster.control_peers['control-1']))
        async with aiohttp.ClientSession() as session:
            url = f'{cluster.api}/v1/status'
            await wait_until(lambda: answers(session, url, ''))
            link: ControlLink[ControlRequest, ControlReply] = ControlLink(
                context, address, ControlReply
            )
            cpu_ms, rss = await _measure(control, SECONDS)
            lines.append(f'at rest: {cpu_ms:.1f} ms/s, {rss} bytes resident')
            for rate in RATES:
                task = asyncio.create_task(_pull_at(link, rate))
                cpu_ms, rss = await _measure(control, SECONDS)
                task.cancel()
                lines.append(f'{rate} pulls/s asked for: {cpu_ms:.1f} ms/s')
            for count in WAITING:
                tasks = [
                    asyncio.create_task(_wait_always(link, f'w{index}'))
                    for index in range(count)
                ]
                await asyncio.sleep(1)
                began = control.cpu_times()
                for number in range(10):
                    await change(
                        session,
                        cluster.api,
                        'take_out_target',
                        name=f'target-{count}-{number}',
                    )
                    await asyncio.sleep(0.3)
                ended = control.cpu_times()
                used_ms = (
                    ended.user + ended.system - began.user - began.system
                ) * 1000
                lines.append(
                    f'{count} nodes waiting: {used_ms / 10:.1f} ms a change',
                )
                for task in tasks:
                    task.cancel()
            link.close()
    finally:
        cluster.stop()
        context.destroy(linger=0)
    return lines


def _split(text: str) -> tuple[str, int]:
    host, port = text.split(':')
    return host, int(port)


def measure_pulls() -> Iterator[str]:
    """Measure a control host's cost of pulls and of changes."""
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        yield from asyncio.run(_run(Path(folder)))
    yield f'took {time.monotonic() - began_at:.0f} s'
