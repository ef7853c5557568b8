"""Quorum policies for simulated groups: fixed majority and dynamic voting."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final


class Host:
    """One control host.

    Attributes
    ----------
    name : int
        Position in the group.
    faults : int
        Number of current faults because of which the host is down.
    isolations : int
        Number of current faults because of which it can't reach others.
    version : int
        Newest version on its disk; -1 if the disk is empty.
    transaction : int
        Number of the last access in which it took part, for dynamic voting.
    partition : frozenset[int]
        Hosts that took part in that access, for dynamic voting.
    voter : bool
        Whether the host counts for a fixed majority.
    """

    def __init__(self, name: int) -> None:
        """Create a running voter at version 0."""
        self.name = name
        self.faults = 0
        self.isolations = 0
        self.version = 0
        self.transaction = 0
        self.partition: frozenset[int] = frozenset()
        self.voter = True

    def lose_disk(self) -> None:
        """Lose the data and the right to vote until the next access."""
        self.version = -1
        self.transaction = -1
        self.partition = frozenset()
        self.voter = False


Policy = Callable[[list[Host], int], bool]


def fixed_majority(part: list[Host], size: int) -> bool:
    """Whether the voters in a part are more than half of the group."""
    return 2 * sum(host.voter for host in part) > size


def dynamic_voting(part: list[Host], size: int) -> bool:
    """Whether a part has a majority of the members of the last access.

    Half of them are enough if the member with the highest name is present.
    """
    with_data = [host for host in part if host.version >= 0]
    if not with_data:
        return False
    newest = max(host.transaction for host in with_data)
    up_to_date = {host.name for host in with_data if host.transaction == newest}
    members = next(
        host.partition for host in with_data if host.transaction == newest
    )
    present = 2 * len(up_to_date & members)
    return present > len(members) or (
        present == len(members) and max(members) in up_to_date
    )


def dynamic_two_copies(part: list[Host], size: int) -> bool:
    """Whether a part of two or more hosts has a quorum by dynamic voting."""
    return len(part) > 1 and dynamic_voting(part, size)


POLICIES: Final[dict[str, Policy]] = {
    'fixed majority': fixed_majority,
    'dynamic voting': dynamic_voting,
    'dynamic, two copies': dynamic_two_copies,
}
