"""Division of a route's requests among its destinations."""

from __future__ import annotations

from lycheespar.configuration.routes import Destination, HostRoute


class WeightedSplit:
    """Gives each destination its share of the requests, one by one.

    The destination that is furthest behind its share is next. So the shares
    hold over any few hundred requests of a node, not only on average.
    """

    __slots__ = ('_credits', '_destinations')

    def __init__(self) -> None:
        """Start without routes."""
        self._credits: dict[str, list[float]] = {}
        self._destinations: dict[str, tuple[Destination, ...]] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service to which the next request goes.

        Empty if all destinations have no weight.
        """
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service if destinations[0].weight else ''
        total = sum(destination.weight for destination in destinations)
        if not total:
            return ''
        owed = self._owed(route)
        for index, destination in enumerate(destinations):
            owed[index] += destination.weight
        chosen = max(range(len(owed)), key=owed.__getitem__)
        owed[chosen] -= total
        return destinations[chosen].service

    def _owed(self, route: HostRoute) -> list[float]:
        """Return what each destination is owed; nothing after a change."""
        if self._destinations.get(route.name) != route.destinations:
            self._destinations[route.name] = route.destinations
            self._credits[route.name] = [0.0 for _ in route.destinations]
        return self._credits[route.name]
