"""Freshness stamps of a control host, for gossip."""

from __future__ import annotations

from lycheespar.configuration.stamp import Stamp, steady_time
from lycheespar.control.group import Group


class GroupStamps:
    """Tells members the stamp that a control host has from its group.

    Parameters
    ----------
    group : Group
        The control host's part in the group.
    """

    __slots__ = ('_group',)

    def __init__(self, group: Group) -> None:
        """Keep the group."""
        self._group = group

    @property
    def stamp(self) -> Stamp:
        """Newest stamp known, aged to now."""
        return self._group.stamp

    def now(self) -> float:
        """Return the present instant of the clock by which ages are told."""
        return steady_time()

    def confirm(self, stamp: Stamp) -> bool:
        """Take no stamp of a member: the group has its own."""
        return False
