"""Splits a route's requests among its destinations by weight."""

from __future__ import annotations

import random
from typing import Final

from lycheespar.configuration.routes import Destination, HostRoute

# Number of steps of the sequence among which a node begins. Weights in percent
# repeat after 100 steps at most.
MAX_FIRST_STEPS: Final = 100


class WeightedSplit:
    """Distributes requests by smooth weighted round robin.

    Each request goes to the destination that is furthest behind its share. So
    the shares hold over any few hundred requests of a node, not only on
    average. Each node begins at a random point of the sequence, so that they
    hold over the first few requests of many nodes too.

    Parameters
    ----------
    source : random.Random
        Source of random numbers.
    """

    __slots__ = ('_balances', '_destinations', '_random')

    def __init__(self, source: random.Random) -> None:
        """Create a split that has not distributed any request."""
        self._random = source
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
        return destinations[_next_index(balances, destinations)].service

    def _route_balances(self, route: HostRoute) -> list[float]:
        """Return by how much each destination is behind its share.

        The balances start anew when the destinations have changed.
        """
        if self._destinations.get(route.name) != route.destinations:
            self._destinations[route.name] = route.destinations
            balances = [0.0 for _ in route.destinations]
            for _ in range(self._random.randrange(MAX_FIRST_STEPS)):
                _next_index(balances, route.destinations)
            self._balances[route.name] = balances
        return self._balances[route.name]


def _next_index(
    balances: list[float], destinations: tuple[Destination, ...]
) -> int:
    """Return the destination of the next request; update the balances."""
    for index, destination in enumerate(destinations):
        balances[index] += destination.weight
    chosen = max(range(len(balances)), key=balances.__getitem__)
    balances[chosen] -= sum(part.weight for part in destinations)
    return chosen
