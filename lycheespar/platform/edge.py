"""A node's interfaces on the platform."""

from __future__ import annotations

from collections.abc import Callable

from lycheespar.edge import Port
from lycheespar.platform.announcements import HeartbeatServer
from lycheespar.platform.headers import PLATFORM_PROFILE
from lycheespar.platform.readiness import ReadinessServer
from lycheespar.platform.settings import PlatformSettings
from lycheespar.profile import HeaderProfile
from lycheespar.targets.announcement import LocalTarget


class PlatformEdge:
    """Speaks the platform's calls and headers.

    Parameters
    ----------
    settings : PlatformSettings
        What the platform tells this process.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: PlatformSettings) -> None:
        """Keep the settings."""
        self._settings = settings

    @property
    def profile(self) -> HeaderProfile:
        """Names of the headers."""
        return PLATFORM_PROFILE

    @property
    def own_service(self) -> str:
        """Service of the target on this machine."""
        return self._settings.own_service

    def announcements(self, target: LocalTarget) -> Port:
        """Return the server that takes the target's heartbeats."""
        return HeartbeatServer(
            target,
            self._settings.own_service,
            self._settings.heartbeat_s,
        )

    def readiness(self, is_ready: Callable[[], bool]) -> Port:
        """Return the server that says if the node is ready."""
        return ReadinessServer(is_ready)
