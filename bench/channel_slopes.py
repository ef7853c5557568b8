"""Measures the cost of channels between nodes.

Both ends of each channel are in this process and connected by real TCP.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator

import psutil
import uvloop

from lycheespar.protocol.channel import Channel
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.opening import open_channel
from lycheespar.tests.protocol.nodes import Node

CHANNEL_COUNTS = (100, 400)
IDLE_S = 12
HELLO = Hello('client', 1, 0)


def _resident_bytes() -> int:
    gc.collect()
    return int(psutil.Process().memory_info().rss)


async def _measure() -> list[str]:
    node = Node()
    await node.start()
    host, port = node.server.address
    channels: list[Channel] = []
    lines: list[str] = []
    # Open some channels first, so that memory that all share is not counted.
    for _ in range(20):
        channels.append(await open_channel(host, port, HELLO, '127.0.0.1'))
    for count in CHANNEL_COUNTS:
        before = _resident_bytes()
        for _ in range(count):
            channels.append(await open_channel(host, port, HELLO, '127.0.0.1'))
        added = _resident_bytes() - before
        lines.append(
            f'{count} channels: {added / count:.0f} bytes for both ends'
        )
    process = psutil.Process()
    before_s = sum(process.cpu_times()[:2])
    await asyncio.sleep(IDLE_S)
    cpu_ms = (sum(process.cpu_times()[:2]) - before_s) * 1000
    lines.append(
        f'{len(channels)} idle channels: {cpu_ms / IDLE_S / len(channels):.3f}'
        ' ms/s each for both ends',
    )
    for channel in channels:
        await channel.close()
    await node.stop()
    return lines


def measure_channels() -> Iterator[str]:
    """Measure the memory of channels and their processor time while idle."""
    yield from uvloop.run(_measure())
