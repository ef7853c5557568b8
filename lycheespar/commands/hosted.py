"""Runs a process with the settings that the platform gives it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Final, Protocol

from loguru import logger

from lycheespar.commands.serve import run_until_stopped
from lycheespar.config.options import Address
from lycheespar.errors import SettingsError
from lycheespar.platform.edge import PlatformEdge
from lycheespar.platform.settings import (
    control_settings,
    load_settings,
    node_settings,
    settings_path,
)

# Time in seconds between two looks whether the settings file has changed,
# which may happen without a signal.
RELOAD_S: Final = 1

log = logger.bind(part='platform')


class _Reloadable(Protocol):
    """A process that takes new seeds while it runs."""

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until told to stop."""

    def meet(self, seeds: tuple[Address, ...]) -> None:
        """Take new seeds."""


def serve_hosted_node() -> None:
    """Run the node beside a target."""
    from lycheespar.app import NodeApp  # noqa: PLC0415

    path = settings_path()
    platform = load_settings(path)
    settings = node_settings(platform)
    run_until_stopped(
        settings,
        lambda stop: _serve(
            NodeApp(settings, PlatformEdge(platform)),
            path,
            stop,
        ),
    )


def serve_hosted_control() -> None:
    """Run a control host."""
    from lycheespar.app import ControlApp  # noqa: PLC0415
    from lycheespar.platform.operators import (  # noqa: PLC0415
        OperatorServer,
    )

    path = settings_path()
    settings = control_settings(load_settings(path))
    run_until_stopped(
        settings,
        lambda stop: _serve(ControlApp(settings, OperatorServer), path, stop),
    )


async def _serve(app: _Reloadable, path: Path, stop: asyncio.Event) -> None:
    """Run a process; follow changes of its settings file."""
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    task = asyncio.create_task(_follow(app, path, changed))
    try:
        await app.run(stop)
    finally:
        task.cancel()


async def _follow(
    app: _Reloadable,
    path: Path,
    signalled: asyncio.Event,
) -> None:
    """Take the seeds of a settings file that has changed."""
    seen = _content(path)
    while True:
        # The file may also change without a signal.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELOAD_S):
                await signalled.wait()
        signalled.clear()
        content = _content(path)
        if content == seen:
            continue
        seen = content
        try:
            app.meet(load_settings(path).gossip_seeds)
        except SettingsError as error:
            log.error('The changed settings are not taken: {}.', error.detail)
        else:
            log.info('The settings were read again.')


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        log.warning("The settings can't be read: {}.", error)
        return b''
