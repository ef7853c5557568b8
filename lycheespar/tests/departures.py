"""Stand-in for the control hosts that store departures."""

from __future__ import annotations

import asyncio

from lycheespar.targets.departures import Departure


class StoredDepartures:
    """Keeps departures in memory, as several starts of a node see them.

    Attributes
    ----------
    departures : list[Departure]
        Stored departures, oldest first.
    reachable : asyncio.Event
        Whether departures can be stored and loaded.
    """

    def __init__(self) -> None:
        """Create an empty, reachable store."""
        self.departures: list[Departure] = []
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def record(self, departure: Departure) -> bool:
        """Store a departure if the store is reachable."""
        if self.reachable.is_set():
            self.departures.append(departure)
        return self.reachable.is_set()

    async def load(self) -> tuple[Departure, ...]:
        """Return the departures once the store is reachable."""
        await self.reachable.wait()
        return tuple(self.departures)
