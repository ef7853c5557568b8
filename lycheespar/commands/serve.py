"""Runs a node or a control host until a signal stops the process."""

from __future__ import annotations

import asyncio
import faulthandler
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import uvloop

from lycheespar.errors import LycheesparError
from lycheespar.settings.definitions import ControlSettings, NodeSettings
from lycheespar.telemetry.logs import configure_logs
from lycheespar.telemetry.unhandled import (
    install_error_handler,
    report_unhandled,
)

STDERR_DESCRIPTOR: Final = 2
FAILURE_EXIT_CODE: Final = 1

Run = Callable[[asyncio.Event], Awaitable[None]]


def serve_node(path: Path) -> None:
    """Run a node with the settings in a file."""
    from lycheespar.app import NodeApp  # noqa: PLC0415

    settings = NodeSettings.load(path)
    run_until_stopped(settings, lambda stop: NodeApp(settings).run(stop))


def serve_control(path: Path) -> None:
    """Run a control host with the settings in a file."""
    from lycheespar.control_app import ControlApp  # noqa: PLC0415

    settings = ControlSettings.load(path)
    run_until_stopped(settings, lambda stop: ControlApp(settings).run(stop))


def run_until_stopped(
    settings: NodeSettings | ControlSettings, run: Run
) -> None:
    """Set up logging and run a process until SIGTERM or SIGINT."""
    # After a crash in native code, dump the stacks of all threads to stderr.
    faulthandler.enable(STDERR_DESCRIPTOR)
    configure_logs(
        settings.log_level,
        as_json=settings.log_json,
        process=settings.name,
    )
    try:
        uvloop.run(_run_until_signal(run))
    except LycheesparError:
        raise
    except Exception as error:
        report_unhandled('The process ends.', error)
        sys.exit(FAILURE_EXIT_CODE)


async def _run_until_signal(run: Run) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    install_error_handler(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await run(stopped)
