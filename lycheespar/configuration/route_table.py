"""Lookup of the route that a host and a path select."""

from __future__ import annotations

from collections.abc import Iterable

from lycheespar.configuration.routes import HostRoute


class RouteTable:
    """Routes by host, the longest prefix first.

    Parameters
    ----------
    routes : Iterable[HostRoute]
        All routes of a plan.
    """

    __slots__ = ('_by_host',)

    def __init__(self, routes: Iterable[HostRoute] = ()) -> None:
        """Sort the routes."""
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix, route)

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._by_host)

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix that begins a path.

        Prefixes end with a slash, so only those of the path's own segments
        can fit: the time does not grow with the number of routes.

        Parameters
        ----------
        host : str
            ``Host`` header, with or without a port.
        path : str
            Path, with or without a query.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        plain = path.partition('?')[0]
        end = len(plain)
        while (end := plain.rfind('/', 0, end)) >= 0:
            route = prefixes.get(plain[: end + 1])
            if route is not None:
                return route
        return None
