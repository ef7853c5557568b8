"""Graceful start and shutdown of a node."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from loguru import logger

from lycheespar.admission.executor import Executor
from lycheespar.configuration.view import ConfigurationView
from lycheespar.ingress.server import IngressServer
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.join_wait import JoinWait
from lycheespar.protocol.server import ChannelServer
from lycheespar.targets.announcement import LocalTarget
from lycheespar.telemetry.unhandled import report_unhandled

# Time in seconds for which idle connections of callers stay open after the port
# is closed.
IDLE_LINGER_S: Final = 0.5
# Shortest time in seconds for the last bytes to other nodes.
CLOSE_S: Final = 0.3
# Interval in seconds between two checks of a condition.
POLL_INTERVAL_S: Final = 0.02
# Longest time in seconds for which a starting node keeps its port closed.
START_TIMEOUT_S: Final = 5

log = logger.bind(part='app')


class GracefulStop:
    """Shuts a node down after its requests in progress are finished.

    Other nodes learn by gossip that the target is draining and stop sending
    calls. Until the port is closed, requests of callers run at other targets,
    and each answer asks the caller to close its connection. Requests that may
    last longer than the stop are refused.

    Parameters
    ----------
    target : LocalTarget
        Local target, which is announced as draining.
    executor : Executor
        Runs calls at the local target; its calls are awaited.
    ingress : IngressServer
        Server for callers; its requests are awaited.
    channels : ChannelServer
        Server for other nodes, which is stopped last.
    limit_s : float
        Time limit in seconds for requests in progress.
    spread_s : float
        Time in seconds for which other nodes may still send new calls, until
        gossip has reached them.
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
        """Prepare a shutdown; `run` carries it out."""
        self._spread_s = spread_s
        self._target = target
        self._executor = executor
        self._ingress = ingress
        self._channels = channels
        self._limit_s = limit_s

    async def run(self) -> None:
        """Drain and stop; requests that exceed the time limit are aborted."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._limit_s
        log.info('The node is draining and finishes its requests.')
        self._target.mark_draining()
        self._ingress.drain(self._limit_s)
        try:
            async with asyncio.timeout(self._limit_s):
                await self._finish_requests()
        except TimeoutError:
            log.warning(
                'Drain time limit reached; aborting the remaining requests.',
            )
        channels_end_at = max(ends_at, loop.time() + CLOSE_S)
        await asyncio.gather(
            _run_step(self._ingress.stop()),
            _run_step(self._channels.stop(channels_end_at)),
        )

    async def _finish_requests(self) -> None:
        if self._ingress.listening:
            await asyncio.sleep(self._spread_s)
        await _run_step(self._ingress.close_port())
        await _run_step(self._ingress.wait_until_idle(IDLE_LINGER_S))
        while not self._executor.idle:
            await asyncio.sleep(POLL_INTERVAL_S)


async def _run_step(step: Coroutine[Any, Any, None]) -> None:
    """Run a step of a stop; an error in it must not end the requests."""
    try:
        await step
    except Exception as error:
        report_unhandled('A step of the stop failed.', error)


async def wait_until_current(
    configuration: ConfigurationView,
    gossip: Gossip,
    join_wait: JoinWait,
    stale_after_s: float,
    stopped: asyncio.Event,
) -> None:
    """Wait until a starting node has the state that it needs for callers.

    Without this wait, the first callers would be refused, because the node
    does not know their service yet, or knows only targets that are about to
    leave. The wait is bounded: a node that reaches no control host opens its
    port anyway and refuses callers with an error code. It also ends when the
    node is to stop.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() - started_at < START_TIMEOUT_S and not stopped.is_set():
        waited_s = loop.time() - started_at
        joined = join_wait.is_over(waited_s, synchronized=gossip.synchronized)
        if joined and configuration.age_s <= stale_after_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
