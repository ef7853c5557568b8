"""What a node speaks to the callers, the target and the host beside it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lycheespar.config.options import Address
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.api import AnnouncementApi


class Port(Protocol):
    """A server on a port of its own."""

    async def start(self, address: Address) -> None:
        """Listen on an address."""

    async def stop(self) -> None:
        """Close the port."""


class Edge(Protocol):
    """Interfaces of a node that depend on where it is installed."""

    @property
    def profile(self) -> HeaderProfile:
        """Names of the headers."""

    @property
    def own_service(self) -> str:
        """Service of the target on this host; empty if it is not told."""

    def announcements(self, target: LocalTarget) -> Port:
        """Return the server to which the target announces itself."""

    def readiness(self, is_ready: Callable[[], bool]) -> Port | None:
        """Return the server that says if the node is ready, if there is one.

        Parameters
        ----------
        is_ready : Callable[[], bool]
            Whether callers may use the node now.
        """


class DefaultEdge:
    """Interfaces that this project defines itself.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    """

    __slots__ = ()

    @property
    def profile(self) -> HeaderProfile:
        """Names of the headers."""
        return DEFAULT_PROFILE

    @property
    def own_service(self) -> str:
        """Nothing: targets announce their service."""
        return ''

    def announcements(self, target: LocalTarget) -> Port:
        """Return the server to which the target announces itself."""
        return AnnouncementApi(target)

    def readiness(self, is_ready: Callable[[], bool]) -> Port | None:
        """Return nothing: the callers' port is open while it is ready."""
