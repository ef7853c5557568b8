"""Interfaces of a node that runs on the platform."""

from __future__ import annotations

from collections.abc import Callable

from lycheespar.node_interfaces import PortServer
from lycheespar.platform.headers import PLATFORM_PROFILE
from lycheespar.platform.heartbeats import HeartbeatServer
from lycheespar.platform.readiness import ReadinessServer
from lycheespar.platform.settings_file import PlatformNodeSettings
from lycheespar.profile import HeaderProfile
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.departures import DepartureStore


class PlatformInterfaces:
    """Connects a node to the platform by its calls and headers.

    Parameters
    ----------
    settings : PlatformNodeSettings
        Settings that the platform gives this process.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: PlatformNodeSettings) -> None:
        """Create the interfaces for a node with these settings."""
        self._settings = settings

    @property
    def profile(self) -> HeaderProfile:
        """Header names of the platform."""
        return PLATFORM_PROFILE

    @property
    def own_service(self) -> str:
        """Service of the target on this host."""
        return self._settings.own_service

    def announcement_server(
        self, target: LocalTarget, departures: DepartureStore
    ) -> PortServer:
        """Return the server that receives the target's heartbeats."""
        return HeartbeatServer(
            target,
            self._settings.own_service,
            self._settings.target_heartbeat_s,
            departures,
        )

    def readiness_server(self, is_ready: Callable[[], bool]) -> PortServer:
        """Return the server that answers the platform's readiness checks."""
        return ReadinessServer(is_ready)
