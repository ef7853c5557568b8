"""Reports errors that nothing handled as events, not as text on stderr."""

from __future__ import annotations

import asyncio
import logging
import traceback
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, Protocol, runtime_checkable

from loguru import logger

from lycheespar.telemetry.error_events import UnhandledError
from lycheespar.telemetry.event_log import events

# Innermost frames of an error that its event names.
MAX_FRAMES: Final = 8
# Requests that the event of an error names.
MAX_REQUESTS: Final = 20


@runtime_checkable
class RequestCarrier(Protocol):
    """A connection that knows the requests in progress on it."""

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Ids of the requests in progress."""


class _LibraryLogs(logging.Handler):
    """Passes the warnings and errors of libraries to the log of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; an error with a traceback becomes an event."""
        message = f'{record.name}: {record.getMessage()}'
        error = record.exc_info[1] if record.exc_info else None
        if error is None:
            logger.bind(part='app').log(record.levelname, message)
        else:
            report_unhandled(message, error)


def report_unhandled(
    message: str,
    error: BaseException,
    *,
    transport: Any = None,
    requests: Iterable[str] = (),
    task: str = '',
) -> None:
    """Write the event of an error that nothing handled.

    Parameters
    ----------
    message : str
        What reports the error.
    error : BaseException
        The error.
    transport : Any
        Transport of the connection that the error concerns.
    requests : Iterable[str]
        Ids of the requests in progress on the connection.
    task : str
        Name of the task that the error ended.
    """
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    events.write(
        UnhandledError(
            message,
            repr(error),
            tuple(
                f'{Path(frame.filename).name}:{frame.lineno} {frame.name}'
                for frame in frames
            ),
            '' if transport is None else _ends_of(transport),
            tuple(requests)[:MAX_REQUESTS],
            task,
        )
    )


def handle_loop_error(
    _: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Report an error that left a callback or a task of the event loop."""
    protocol = context.get('protocol')
    task = context.get('task') or context.get('future')
    message = str(context.get('message', ''))
    report_unhandled(
        message,
        context.get('exception') or RuntimeError(message),
        transport=context.get('transport'),
        requests=(
            protocol.request_ids if isinstance(protocol, RequestCarrier) else ()
        ),
        task=task.get_name() if isinstance(task, asyncio.Task) else '',
    )


def install_error_handler(loop: asyncio.AbstractEventLoop) -> None:
    """Report all errors of an event loop, and those that libraries log."""
    loop.set_exception_handler(handle_loop_error)
    logging.basicConfig(
        handlers=[_LibraryLogs()], level=logging.WARNING, force=True
    )


def _ends_of(transport: Any) -> str:
    """Return the local and the remote address of a transport."""
    ends = (transport.get_extra_info(name) for name in ('sockname', 'peername'))
    return ' - '.join(
        f'{end[0]}:{end[1]}' if isinstance(end, tuple) else 'unknown'
        for end in ends
    )
