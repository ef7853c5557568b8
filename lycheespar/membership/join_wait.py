"""Decides whether a starting node knows enough members to serve callers.

The load that this answers: a fleet whose nodes all start at once, as after a
loss of power. Tables change all the time then, so that none is complete for
seconds; and no target gets calls before its own node serves, so that each node
that waits for a complete table prolongs the outage.
"""

from __future__ import annotations

from typing import Final

from lycheespar.membership.records import Liveness, Phase
from lycheespar.membership.view import MembershipView

# Longest time in seconds for which a starting node waits for the membership
# table of another node.
JOIN_TIMEOUT_S: Final = 3
# The same if most other nodes are starting too. It leaves time for one or two
# comparisons of tables.
FLEET_START_TIMEOUT_S: Final = 0.6
# Number of other nodes that must be known to judge whether most are starting.
MIN_OTHER_NODES: Final = 3


class JoinWait:
    """Wait of a starting node for the records of the other members.

    Parameters
    ----------
    node : str
        Identity of this node.
    members : MembershipView
        Members that this node knows.
    """

    __slots__ = ('_fleet_is_starting', '_members', '_node')

    def __init__(self, node: str, members: MembershipView) -> None:
        """Begin the wait."""
        self._node = node
        self._members = members
        self._fleet_is_starting = False

    def is_over(self, waited_s: float, *, synchronized: bool) -> bool:
        """Return whether the node may serve callers.

        Parameters
        ----------
        waited_s : float
            Time in seconds since the start.
        synchronized : bool
            Whether the table of this node has been complete.
        """
        if synchronized or waited_s > JOIN_TIMEOUT_S:
            return True
        # Kept once it is known: the first nodes that serve would hide it.
        self._fleet_is_starting = (
            self._fleet_is_starting or self._are_most_nodes_starting()
        )
        return self._fleet_is_starting and waited_s > FLEET_START_TIMEOUT_S

    def _are_most_nodes_starting(self) -> bool:
        """Return whether most other nodes have published no target yet."""
        phases = [
            record.phase
            for record in self._members.records
            if record.node != self._node
            and not record.control_port
            and record.liveness is Liveness.alive
        ]
        starting = sum(phase is Phase.absent for phase in phases)
        return len(phases) >= MIN_OTHER_NODES and starting * 2 > len(phases)
