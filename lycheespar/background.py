"""Tasks that run in the background until their owner stops them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from lycheespar.telemetry.control_events import TaskFailed
from lycheespar.telemetry.event_log import events

TaskBody = Callable[[], Coroutine[Any, Any, None]]

log = logger.bind(part='app')


def start_background(name: str, body: TaskBody) -> asyncio.Task[None]:
    """Start a task that reports its end unless it is cancelled by its owner.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    body : TaskBody
        Coroutine function that the task runs.
    """
    return asyncio.create_task(_report_end(name, body), name=name)


async def _report_end(name: str, body: TaskBody) -> None:
    try:
        await body()
    except asyncio.CancelledError as error:
        if is_cancelled_by_owner():
            raise
        _report(name, error)
    except Exception as error:
        _report(name, error)


def is_cancelled_by_owner() -> bool:
    """Whether the present task was cancelled.

    Otherwise, a cancelled future that it waited for has raised the error.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _report(name: str, error: BaseException) -> None:
    events.write(TaskFailed(name, repr(error)))
    log.opt(exception=error).error("Task '{}' failed.", name)
