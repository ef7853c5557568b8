"""Tasks that run in the background until their owner stops them."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, Final

from lycheespar.telemetry.control_events import TaskFailed
from lycheespar.telemetry.event_log import events

TaskBody = Callable[[], Coroutine[Any, Any, None]]

# Time in seconds between the failure of a task and its next start.
RESTART_PAUSE_S: Final = 0.2


def start_background(name: str, body: TaskBody) -> asyncio.Task[None]:
    """Start a task that is started again after a failure.

    It ends when its body returns or when its owner cancels it. A future that
    the body waits for and that someone else cancels is a failure too.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    body : TaskBody
        Coroutine function that the task runs.
    """
    return asyncio.create_task(_run_until_done(name, body), name=name)


def is_cancelled_by_owner() -> bool:
    """Whether the present task was cancelled.

    Otherwise, a cancelled future that it waited for has raised the error.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def _run_until_done(name: str, body: TaskBody) -> None:
    while True:
        try:
            await body()
        except asyncio.CancelledError as error:
            if is_cancelled_by_owner():
                raise
            _report(name, error)
        except Exception as error:
            _report(name, error)
        else:
            return
        await asyncio.sleep(RESTART_PAUSE_S)


def _report(name: str, error: BaseException) -> None:
    place = traceback.extract_tb(error.__traceback__)[-1]
    events.write(TaskFailed(name, repr(error), f'{place.name}:{place.lineno}'))
