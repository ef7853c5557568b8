"""Splits a route's requests among its destinations by weight."""

from __future__ import annotations

from lycheespar.configuration.routes import Destination, HostRoute


class WeightedSplit:
    """Distributes requests by smooth weighted round robin.

    Each request goes to the destination that is furthest behind its share. So
    the shares hold over any few hundred requests of a node, not only on
    average.
    """

    __slots__ = ('_balances', '_destinations')

    def __init__(self) -> None:
        """Create a split that has not distributed any request."""
        self._balances: dict[str, list[float]] = {}
        self._destinations: dict[str, tuple[Destination, ...]] = {}

    def choose_service(self, route: HostRoute) -> str:
        """Return the service to which the next request goes.

        The name is empty if all destinations have weight 0.
        """
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service if destinations[0].weight else ''
        total = sum(destination.weight for destination in destinations)
        if not total:
            return ''
        balances = self._route_balances(route)
        for index, destination in enumerate(destinations):
            balances[index] += destination.weight
        chosen = max(range(len(balances)), key=balances.__getitem__)
        balances[chosen] -= total
        return destinations[chosen].service

    def _route_balances(self, route: HostRoute) -> list[float]:
        """Return by how much each destination is behind its share.

        The balances start again at 0 when the destinations have changed.
        """
        if self._destinations.get(route.name) != route.destinations:
            self._destinations[route.name] = route.destinations
            self._balances[route.name] = [0.0 for _ in route.destinations]
        return self._balances[route.name]
