"""Records in which nodes describe themselves and their targets."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from lycheespar.decoding import MAX_NAME_LENGTH, Name

ServiceName = Annotated[str, msgspec.Meta(max_length=2 * MAX_NAME_LENGTH + 1)]
Rank = tuple[int, int, int, int]


class Phase(enum.IntEnum):
    """Phase of a target's life cycle, as announced."""

    absent = 0
    cold = 1
    ready = 2
    draining = 3
    left = 4


class Liveness(enum.IntEnum):
    """State of a node according to failure detection; worse is greater."""

    alive = 0
    suspect = 1
    dead = 2


class Verdict(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Liveness of a member at one version of its record.

    Attributes
    ----------
    node : str
        Identity of the member.
    incarnation, version : int
        Version of the record to which the verdict applies.
    refutation : int
        Refutation number of the record to which the verdict applies.
    liveness : Liveness
        State of the member.
    """

    node: Name
    incarnation: int
    version: int
    refutation: int
    liveness: Liveness

    @property
    def rank(self) -> Rank:
        """Sort key of verdicts on one member; the greatest one wins."""
        return (
            self.incarnation,
            self.version,
            self.refutation,
            self.liveness,
        )

    @property
    def record_version(self) -> tuple[int, int]:
        """Incarnation and version of the record."""
        return (self.incarnation, self.version)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Record of one node and its target.

    Attributes
    ----------
    node : str
        Identity of the node.
    incarnation : int
        Number that grows with each start of the node.
    version : int
        Number that grows with each change of the record within one
        incarnation.
    host : str
        IP number of the node.
    inner_port, gossip_port : int
        Ports of the inner protocol (TCP) and of gossip (UDP).
    data_centre : str
        Data centre of the node.
    service : str
        ``team/service`` of the target; empty if there is no target.
    target : str
        Identity of the target; empty if there is no target.
    phase : Phase
        Phase of the target.
    slots : int
        Number of requests that the target handles at once.
    liveness : Liveness
        Verdict of the failure detector.
    refutation : int
        Number that grows each time the node refutes a verdict on this
        version.
    control_port : int
        Port on which a control host serves nodes; 0 for other members.
    software_version : str
        Version of the target's software; empty if it announces none.
    """

    node: Name
    incarnation: int
    version: int
    host: Name
    inner_port: int
    gossip_port: int
    data_centre: Name
    service: ServiceName = ''
    target: Name = ''
    phase: Phase = Phase.absent
    slots: int = 0
    liveness: Liveness = Liveness.alive
    refutation: int = 0
    control_port: int = 0
    software_version: Name = ''

    @property
    def accepts_calls(self) -> bool:
        """Whether new calls may be sent to the target."""
        live = self.liveness is Liveness.alive
        return live and self.phase in {Phase.cold, Phase.ready}

    def supersedes(self, known: MemberRecord | None) -> bool:
        """Return whether this record is newer than a known one."""
        if known is None:
            return True
        return self.rank > known.rank

    @property
    def rank(self) -> Rank:
        """Sort key of the records of one member; the greatest one wins."""
        return self.verdict.rank

    @property
    def verdict(self) -> Verdict:
        """Version and liveness of the record, without its other fields."""
        return Verdict(
            self.node,
            self.incarnation,
            self.version,
            self.refutation,
            self.liveness,
        )
