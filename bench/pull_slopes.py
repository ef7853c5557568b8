"""Measures the cost of pulls at a control host, with real processes."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import psutil
import zmq.asyncio

from lycheespar.control.link import ControlLink
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Pull,
    PullReply,
)
from lycheespar.settings.options import Address
from standins.cluster import (
    Cluster,
    answers_with_status,
    submit_configuration_change,
    wait_until,
)

RUN_S = 8
RATES = (50, 200)
WAITING_NODES = (0, 100, 400)


async def _measure_usage(
    control: psutil.Process, seconds: float
) -> tuple[float, int]:
    """Return processor milliseconds per second and resident bytes."""
    before = control.cpu_times()
    await asyncio.sleep(seconds)
    after = control.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    return cpu_s / seconds * 1000, control.memory_info().rss


async def _pull_at_rate(
    link: ControlLink[ControlRequest, ControlReply],
    rate: int,
) -> None:
    """Send pulls that are answered at once, at a fixed rate."""
    for number in range(1_000_000):
        asyncio.create_task(link.ask(Pull(f'n{number % 1500}', 9, 0), 5))
        await asyncio.sleep(1 / rate)


async def _pull_and_wait(
    link: ControlLink[ControlRequest, ControlReply],
    node: str,
) -> None:
    """Send pulls that wait for changes, one after the other, as nodes do."""
    revision = 0
    while True:
        reply = await link.ask(Pull(node, revision, 8), 20)
        if isinstance(reply, PullReply):
            revision = reply.stamp.revision


async def _measure(folder: Path) -> list[str]:
    cluster = Cluster(folder)
    cluster.start()
    context = zmq.asyncio.Context()
    lines: list[str] = []
    try:
        control = psutil.Process(cluster.processes['control-1'].pid)
        address = Address(*_parse_address(cluster.control_peers['control-1']))
        async with aiohttp.ClientSession() as session:
            url = f'{cluster.api}/v1/status'
            await wait_until(lambda: answers_with_status(session, url, ''))
            link: ControlLink[ControlRequest, ControlReply] = ControlLink(
                context, address, ControlReply
            )
            cpu_ms, rss = await _measure_usage(control, RUN_S)
            lines.append(f'idle: {cpu_ms:.1f} ms/s, {rss} bytes resident')
            for rate in RATES:
                task = asyncio.create_task(_pull_at_rate(link, rate))
                cpu_ms, rss = await _measure_usage(control, RUN_S)
                task.cancel()
                lines.append(f'{rate} pulls/s requested: {cpu_ms:.1f} ms/s')
            for count in WAITING_NODES:
                tasks = [
                    asyncio.create_task(_pull_and_wait(link, f'w{index}'))
                    for index in range(count)
                ]
                await asyncio.sleep(1)
                before = control.cpu_times()
                for number in range(10):
                    await submit_configuration_change(
                        session,
                        cluster.api,
                        'take_out_target',
                        name=f'target-{count}-{number}',
                    )
                    await asyncio.sleep(0.3)
                after = control.cpu_times()
                cpu_ms = (
                    after.user + after.system - before.user - before.system
                ) * 1000
                lines.append(
                    f'{count} waiting nodes: {cpu_ms / 10:.1f} ms per change',
                )
                for task in tasks:
                    task.cancel()
            link.close()
    finally:
        cluster.stop()
        context.destroy(linger=0)
    return lines


def _parse_address(text: str) -> tuple[str, int]:
    host, port = text.split(':')
    return host, int(port)


def measure_pulls() -> Iterator[str]:
    """Measure the cost of pulls and changes at a control host."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        yield from asyncio.run(_measure(Path(folder)))
    yield f'total time: {time.monotonic() - started_at:.0f} s'
