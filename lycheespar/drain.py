"""Graceful start and stop of a node."""

from __future__ import annotations

import asyncio
from typing import Final

from loguru import logger

from lycheespar.admission.executor import Executor
from lycheespar.configuration.view import ConfigurationView
from lycheespar.ingress.server import IngressServer
from lycheespar.membership.gossip import Gossip
from lycheespar.protocol.server import ChannelServer
from lycheespar.targets.announcement import LocalTarget

# Time for which callers' idle connections stay open after the port is closed.
LINGER_S: Final = 0.5
POLL_S: Final = 0.02
# Longest time for which a starting node keeps its port closed.
START_TIMEOUT_S: Final = 5
# Longest time in which a starting node waits for another node's table.
JOIN_TIMEOUT_S: Final = 3

log = logger.bind(part='app')


class GracefulStop:
    """Finishes what is under way at a node; takes nothing new.

    Other nodes are told by gossip to send nothing more. Callers are served by
    other targets until the port is closed, and each answer tells them to
    close their connection.

    Parameters
    ----------
    target : LocalTarget
        Announced as draining.
    executor : Executor
        Its calls are finished.
    ingress : IngressServer
        Its requests are finished.
    channels : ChannelServer
        Closed at the end.
    limit_s : float
        Longest time of the whole stop in seconds.
    spread_s : float
        Time in seconds for which others may still send new work.
    """

    __slots__ = (
        '_channels',
        '_executor',
        '_ingress',
        '_limit_s',
        '_spread_s',
        '_target',
    )

    def __init__(
        self,
        target: LocalTarget,
        executor: Executor,
        ingress: IngressServer,
        channels: ChannelServer,
        limit_s: float,
        spread_s: float,
    ) -> None:
        """Keep the parts; `run` does the work."""
        self._spread_s = spread_s
        self._target = target
        self._executor = executor
        self._ingress = ingress
        self._channels = channels
        self._limit_s = limit_s

    async def run(self) -> None:
        """Stop gracefully, at the latest when the time is up."""
        log.info('The node drains.')
        self._target.drain()
        self._ingress.drain()
        try:
            async with asyncio.timeout(self._limit_s):
                await self._finish()
        except TimeoutError:
            log.warning('The time to drain is up: requests are cut.')
        await self._ingress.stop()
        await self._channels.stop()

    async def _finish(self) -> None:
        await asyncio.sleep(self._spread_s)
        await self._ingress.close_port()
        await self._ingress.finish(LINGER_S)
        while not self._executor.idle:
            await asyncio.sleep(POLL_S)


async def wait_until_current(
    configuration: ConfigurationView,
    gossip: Gossip,
    stale_after_s: float,
) -> None:
    """Wait until a starting node knows enough to serve callers.

    Without this, callers that come at once would be refused by a node that
    knows no service, or only targets that are about to leave. The wait is
    bounded, so that callers get coded refusals from a node that finds no
    control host.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while loop.time() - began_at < START_TIMEOUT_S:
        waited_s = loop.time() - began_at
        joined = gossip.synchronized or waited_s > JOIN_TIMEOUT_S
        if joined and configuration.age_s <= stale_after_s:
            return
        await asyncio.sleep(POLL_S)
