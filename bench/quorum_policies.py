"""Which part of a simulated group may go on: fixed majority, dynamic voting."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final


class Host:
    """One control host.

    Attributes
    ----------
    faults : int
        Faults that hold it down now.
    cut : int
        Faults that cut it off now.
    version : int
        Newest version on its disk; -1 for an empty disk.
    transaction, partition
        State of dynamic voting: number of the last access, and its members.
    """

    def __init__(self, name: int) -> None:
        """Start up, with an empty history."""
        self.name = name
        self.faults = 0
        self.cut = 0
        self.version = 0
        self.transaction = 0
        self.partition: frozenset[int] = frozenset()
        self.voter = True

    def lose_disk(self) -> None:
        """Empty the disk."""
        self.version = -1
        self.transaction = -1
        self.partition = frozenset()
        self.voter = False


Policy = Callable[[list[Host], int], bool]


def fixed_majority(part: list[Host], size: int) -> bool:
    """Whether more than half of all voters are in a part."""
    return 2 * sum(host.voter for host in part) > size


def dynamic(part: list[Host], size: int) -> bool:
    """Whether a part holds the majority of the last access's members.

    Half of them is enough with the one that is last in order.
    """
    known = [host for host in part if host.version >= 0]
    if not known:
        return False
    newest = max(host.transaction for host in known)
    current = {host.name for host in known if host.transaction == newest}
    members = next(
        host.partition for host in known if host.transaction == newest
    )
    present = 2 * len(current & members)
    return present > len(members) or (
        present == len(members) and max(members) in current
    )


def dynamic_two_copies(part: list[Host], size: int) -> bool:
    """Dynamic voting that never goes on with a single host."""
    return len(part) > 1 and dynamic(part, size)


POLICIES: Final[dict[str, Policy]] = {
    'fixed majority': fixed_majority,
    'dynamic voting': dynamic,
    'dynamic, two copies': dynamic_two_copies,
}
