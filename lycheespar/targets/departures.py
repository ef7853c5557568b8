"""Departures of targets that their nodes have acknowledged.

A node has no disk. What it has acknowledged to a target must also hold after a
restart of the node, so the control hosts store it before the acknowledgement.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from lycheespar.decoding import Integer, Name

# Sort key: start of the target, whether it was deregistered, sequence.
Rank = tuple[int, bool, int]


class Departure(msgspec.Struct, frozen=True):
    """Report of a target that it leaves.

    Attributes
    ----------
    target : str
        Identity of the target.
    started_at_ms : int
        Unix time of the target's start in milliseconds.
    sequence : int
        Number of the heartbeat that reported the drain; 0 after a
        deregistration.
    deregistered : bool
        Whether the target was deregistered.
    """

    target: Name
    started_at_ms: Integer
    sequence: Integer = 0
    deregistered: bool = False

    @property
    def rank(self) -> Rank:
        """Sort key of the departures of one target; the greatest one wins."""
        return (self.started_at_ms, self.deregistered, self.sequence)

    def covers(self, other: Departure) -> bool:
        """Whether no heartbeat before another departure counts any more.

        Of the heartbeats that report a drain, the first one covers the others.
        """
        return (self.started_at_ms, self.deregistered) >= (
            other.started_at_ms,
            other.deregistered,
        )


class DepartureStore(Protocol):
    """Stores departures so that they outlive a restart of this node."""

    async def record(self, departure: Departure) -> bool:
        """Store a departure; return whether that is certain."""

    async def load(self) -> tuple[Departure, ...]:
        """Return the departures that this node has stored, in any process.

        Waits until they are known.
        """
