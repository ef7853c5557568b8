"""Wrappers that count calls by outcome."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.call import Answer, Call, Dispatch, Execution
from lycheespar.errors import RequestError
from lycheespar.telemetry.metrics import Metrics

MS_PER_S: Final = 1000


class ObservedDispatch:
    """Counts the calls of this node's callers by service, class and outcome.

    The latency of each call is recorded too.

    Parameters
    ----------
    dispatch : Dispatch
        Runs the calls.
    metrics : Metrics
        Metrics of this process.
    """

    __slots__ = ('_dispatch', '_metrics')

    def __init__(self, dispatch: Dispatch, metrics: Metrics) -> None:
        """Wrap a dispatch."""
        self._dispatch = dispatch
        self._metrics = metrics

    async def dispatch(self, call: Call) -> Answer:
        """Run a call; record its outcome and latency."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome = 'cancelled'
        try:
            answer = await self._dispatch.dispatch(call)
            outcome = f'status_{answer.status}'
        except RequestError as error:
            outcome = error.code
            raise
        finally:
            key = ('call', call.service, call.request_class)
            elapsed_ms = (loop.time() - started_at) * MS_PER_S
            self._metrics.increment(*key, outcome)
            self._metrics.observe(*key, 'latency', latency_ms=elapsed_ms)
        return answer


class ObservedExecution:
    """Counts the calls that this node runs at its target, by outcome.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    metrics : Metrics
        Metrics of this process.
    """

    __slots__ = ('_execution', '_metrics')

    def __init__(self, execution: Execution, metrics: Metrics) -> None:
        """Wrap an execution."""
        self._execution = execution
        self._metrics = metrics

    async def execute(self, call: Call) -> Answer:
        """Run a call and record its outcome."""
        outcome = 'cancelled'
        try:
            answer = await self._execution.execute(call)
            outcome = f'status_{answer.status}'
        except RequestError as error:
            outcome = error.code
            raise
        finally:
            self._metrics.increment('target', outcome)
        return answer
