"""Structured events about clients that exceed the limits of a port."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event


class ConnectionRejected(Event, frozen=True, tag='connection_rejected'):
    """A connection exceeded a limit or sent no valid HTTP, and is closed.

    Attributes
    ----------
    code : str
        Code of the error; ``connections_over_limit`` if idle connections were
        closed to make room for new ones.
    connections : int
        Open connections of the port.
    """

    part: ClassVar[str] = 'http'
    rate_limited: ClassVar[bool] = True

    code: str
    connections: int
