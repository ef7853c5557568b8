"""Limits on the connections and unfinished requests of an HTTP server."""

from __future__ import annotations

import resource
from typing import Final

import msgspec

# Most connections of callers and of any other port, whatever the limit on
# descriptors is.
MAX_CONNECTIONS: Final = 2048
MAX_PORT_CONNECTIONS: Final = 128
# Shares of the descriptors of a process. The rest is for targets, channels and
# files.
_CALLERS_SHARE: Final = 2
_PORT_SHARE: Final = 16


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of one HTTP server.

    Attributes
    ----------
    head_bytes : int
        Largest size of the head of a request in bytes, and of the empty lines
        before it, its trailers and the sizes of its chunks.
    head_timeout_s : float
        Longest time in seconds for receiving a head once it has begun.
    idle_timeout_s : float
        Time in seconds after which an idle connection is closed.
    body_timeout_s : float
        Longest time in seconds for receiving a body, if requests are handled
        once they are received whole; 0 if bodies are streamed.
    write_timeout_s : float
        Time in seconds after which a connection is aborted that accepts none
        of the bytes that wait to be sent.
    connections : int
        Most open connections.
    held_bytes : int
        Memory in bytes that unfinished and waiting requests may use on all
        connections together.
    unsent_bytes : int
        Bytes of answers that may wait on stalled connections together.
    """

    head_bytes: int = 16 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    body_timeout_s: float = 60.0
    write_timeout_s: float = 30.0
    connections: int = MAX_PORT_CONNECTIONS
    held_bytes: int = 4 * 1024 * 1024
    unsent_bytes: int = 16 * 1024 * 1024


def default_connections() -> int:
    """Return how many connections of callers the process may have open."""
    return min(_descriptors() // _CALLERS_SHARE, MAX_CONNECTIONS)


def port_limits(held_bytes: int = 4 * 1024 * 1024) -> RequestLimits:
    """Return the limits of a port that is not for callers.

    Parameters
    ----------
    held_bytes : int
        Memory in bytes that unfinished and waiting requests may use.
    """
    connections = min(_descriptors() // _PORT_SHARE, MAX_PORT_CONNECTIONS)
    return RequestLimits(connections=connections, held_bytes=held_bytes)


def _descriptors() -> int:
    """Return how many descriptors the process may have open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS * _CALLERS_SHARE
    return max(descriptors, _PORT_SHARE)
