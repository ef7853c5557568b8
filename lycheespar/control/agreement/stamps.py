"""Freshness stamps that a control host spreads by gossip."""

from __future__ import annotations

from lycheespar.configuration.stamp import Stamp, boot_time_s
from lycheespar.control.agreement.group import Group


class GroupStamps:
    """Provides the stamp of the control group to the gossip.

    Parameters
    ----------
    group : Group
        The control group, as this host takes part in it.
    """

    __slots__ = ('_group',)

    def __init__(self, group: Group) -> None:
        """Provide the stamps of the given group."""
        self._group = group

    @property
    def stamp(self) -> Stamp:
        """Newest stamp known, with its present age."""
        return self._group.stamp

    def now(self) -> float:
        """Return the current time of the clock that measures ages."""
        return boot_time_s()

    def accept_stamp(self, stamp: Stamp) -> bool:
        """Ignore the stamp of a gossip member: the group has its own."""
        return False
