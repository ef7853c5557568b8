"""Names of the control hosts that one of them knows."""

from __future__ import annotations

from collections.abc import Iterable

from lycheespar.control.replica import Replica


class Roster:
    """Control hosts besides this one: named in the settings, voters, met.

    Parameters
    ----------
    replica : Replica
        The member; its voters count.
    configured : Iterable[str]
        Hosts that the settings name.
    """

    __slots__ = ('_configured', '_met', '_replica')

    def __init__(self, replica: Replica, configured: Iterable[str]) -> None:
        """Start without hosts that were met."""
        self._replica = replica
        self._configured = frozenset(configured) - {replica.name}
        self._met: set[str] = set()

    @property
    def configured(self) -> tuple[str, ...]:
        """Hosts that the settings name, in order."""
        return tuple(sorted(self._configured))

    @property
    def voters(self) -> frozenset[str]:
        """Other hosts that vote now, or will once a change is committed."""
        sets = self._replica.voter_sets
        return frozenset().union(*sets) - {self._replica.name}

    @property
    def others(self) -> tuple[str, ...]:
        """All hosts, in order."""
        return tuple(sorted(self._configured | self._met | self.voters))

    def meet(self, hosts: Iterable[str]) -> None:
        """Take the names of further hosts."""
        self._met |= frozenset(hosts) - {self._replica.name, ''}

    def forget(self, host: str) -> None:
        """Drop a host that was met and has gone."""
        self._met.discard(host)
