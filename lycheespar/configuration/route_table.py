"""Lookup of routes by host and path."""

from __future__ import annotations

from collections.abc import Iterable

from lycheespar.configuration.routes import HostRoute


class RouteTable:
    """Finds the route with the longest matching path prefix for a host.

    Parameters
    ----------
    routes : Iterable[HostRoute]
        All routes of a plan.
    """

    __slots__ = ('_by_host',)

    def __init__(self, routes: Iterable[HostRoute] = ()) -> None:
        """Index the routes by host and path prefix."""
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix, route)

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._by_host)

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of a path, if any.

        Prefixes end with a slash, so one lookup per path segment is enough;
        the time does not depend on the number of routes.

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
        bare_path = path.partition('?')[0]
        end = len(bare_path)
        while (end := bare_path.rfind('/', 0, end)) >= 0:
            route = prefixes.get(bare_path[: end + 1])
            if route is not None:
                return route
        return None
