"""Runs a node or a control host with the settings of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Final, Protocol

from loguru import logger

from lycheespar.background import start_background
from lycheespar.commands.serve import run_until_stopped
from lycheespar.errors import SettingsError
from lycheespar.platform.interfaces import PlatformInterfaces
from lycheespar.platform.settings import control_settings, node_settings
from lycheespar.platform.settings_file import (
    load_control,
    load_gossip_seeds,
    load_node,
    settings_path,
)
from lycheespar.settings.options import Address

# Seconds between two checks whether the settings file has changed, as it may
# change without a signal.
SETTINGS_POLL_INTERVAL_S: Final = 1

log = logger.bind(part='platform')


class _Reloadable(Protocol):
    """A process whose gossip seeds can be replaced while it runs."""

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set."""

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the gossip seeds."""


def serve_hosted_node() -> None:
    """Run a node with the settings file of the platform."""
    from lycheespar.app import NodeApp  # noqa: PLC0415

    path = settings_path()
    platform = load_node(path)
    settings = node_settings(platform)
    run_until_stopped(
        settings,
        lambda stop: _serve(
            NodeApp(settings, PlatformInterfaces(platform)),
            path,
            stop,
        ),
    )


def serve_hosted_control() -> None:
    """Run a control host with the settings file of the platform."""
    from lycheespar.control_app import ControlApp  # noqa: PLC0415
    from lycheespar.platform.operators import (  # noqa: PLC0415
        OperatorServer,
    )

    path = settings_path()
    settings = control_settings(load_control(path))
    run_until_stopped(
        settings,
        lambda stop: _serve(ControlApp(settings, OperatorServer), path, stop),
    )


async def _serve(app: _Reloadable, path: Path, stop: asyncio.Event) -> None:
    """Run a process, and update its seeds when its settings file changes."""
    sighup_received = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, sighup_received.set
    )
    watch_task = start_background(
        'settings file',
        lambda: watch_settings(app, path, sighup_received),
    )
    try:
        await app.run(stop)
    finally:
        watch_task.cancel()


async def watch_settings(
    app: _Reloadable,
    path: Path,
    sighup_received: asyncio.Event,
) -> None:
    """Update the seeds after each change of the settings file."""
    last_content = _read_content(path)
    while True:
        # The file may also change without a signal.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await sighup_received.wait()
        sighup_received.clear()
        content = _read_content(path)
        if content == last_content:
            continue
        last_content = content
        try:
            app.replace_seeds(load_gossip_seeds(path))
        except SettingsError as error:
            log.error(
                'The changed seeds are invalid and ignored: {}.',
                error.detail,
            )
        else:
            log.info('The settings file has changed; its seeds are in use.')


def _read_content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        log.warning("The settings file can't be read: {}.", error)
        return b''
