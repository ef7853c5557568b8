"""Names of the other control hosts that a control host knows."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from lycheespar.control.agreement.replica import Replica

# Hosts that are remembered because others named them.
MAX_DISCOVERED: Final = 64


class Roster:
    """The other control hosts: configured ones, voters and discovered ones.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host, from which the voters are read.
    configured : Iterable[str]
        Hosts that the settings name.
    """

    __slots__ = ('_configured', '_discovered', '_replica')

    def __init__(self, replica: Replica, configured: Iterable[str]) -> None:
        """Create a roster without discovered hosts."""
        self._replica = replica
        self._configured = frozenset(configured) - {replica.name}
        self._discovered: set[str] = set()

    @property
    def configured(self) -> tuple[str, ...]:
        """Hosts that the settings name, sorted."""
        return tuple(sorted(self._configured))

    @property
    def voters(self) -> frozenset[str]:
        """Other hosts that are voters now or by a change not yet committed."""
        sets = self._replica.voter_sets
        return frozenset().union(*sets) - {self._replica.name}

    @property
    def others(self) -> tuple[str, ...]:
        """All other hosts that are known, sorted."""
        return tuple(sorted(self._configured | self._discovered | self.voters))

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Add the names of discovered hosts."""
        for host in sorted(frozenset(hosts) - {self._replica.name, ''}):
            if len(self._discovered) < MAX_DISCOVERED:
                self._discovered.add(host)

    def forget(self, host: str) -> None:
        """Remove a discovered host."""
        self._discovered.discard(host)
