"""Load that the target reports itself, which may be late or wrong."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from lycheespar.call import Load

HOLDS_S: Final = 2


class ReportedLoad:
    """Newest report of the load endpoint.

    It only fills in the load that other nodes are told while no calls run:
    admission never follows it, so that a wrong report refuses no call.

    Parameters
    ----------
    running : int
        Requests that the target says it runs.
    at : float
        Instant of the report on the event loop's clock, in seconds.
    """

    __slots__ = ('_at', '_running')

    def __init__(self, running: int = 0, at: float = float('-inf')) -> None:
        """Keep the report."""
        self._running = running
        self._at = at

    def merge(self, load: Load, now: float) -> Load:
        """Add a fresh report to the load that this node sees itself."""
        if now - self._at > HOLDS_S or self._running <= load.running:
            return load
        return replace(load, running=min(self._running, load.limit))
