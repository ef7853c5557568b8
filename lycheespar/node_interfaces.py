"""Interfaces of a node to callers, to its target and to its host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.api import AnnouncementApi
from lycheespar.targets.departures import DepartureStore


class PortServer(Protocol):
    """A server that listens on its own port."""

    async def start(self, address: Address) -> None:
        """Listen on an address."""

    async def stop(self) -> None:
        """Close the port."""


class NodeInterfaces(Protocol):
    """Interfaces of a node that depend on the platform it is installed on."""

    @property
    def profile(self) -> HeaderProfile:
        """Names of the HTTP headers."""

    @property
    def own_service(self) -> str:
        """Service of the target on this host; empty if it is not known."""

    def announcement_server(
        self, target: LocalTarget, departures: DepartureStore
    ) -> PortServer:
        """Return the server that receives the target's announcements."""

    def readiness_server(
        self, is_ready: Callable[[], bool]
    ) -> PortServer | None:
        """Return the server of the readiness check; None if there is none.

        Parameters
        ----------
        is_ready : Callable[[], bool]
            Returns whether the node is ready for callers.
        """


class DefaultInterfaces:
    """Interfaces of an installation without a platform adapter."""

    __slots__ = ()

    @property
    def profile(self) -> HeaderProfile:
        """Names of the HTTP headers."""
        return DEFAULT_PROFILE

    @property
    def own_service(self) -> str:
        """Empty, as targets announce their service themselves."""
        return ''

    def announcement_server(
        self, target: LocalTarget, departures: DepartureStore
    ) -> PortServer:
        """Return the server that receives the target's announcements."""
        return AnnouncementApi(target)

    def readiness_server(
        self, is_ready: Callable[[], bool]
    ) -> PortServer | None:
        """Return None: the port for callers is open only when ready."""
