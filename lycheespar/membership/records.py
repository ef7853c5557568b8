"""What nodes tell each other about themselves and their targets."""

from __future__ import annotations

import enum

import msgspec

Rank = tuple[int, int, int, int]


class Phase(enum.IntEnum):
    """Phase of a target's life, as announced."""

    absent = 0
    cold = 1
    ready = 2
    draining = 3
    left = 4


class Liveness(enum.IntEnum):
    """What the failure detector holds of a node; worse is greater."""

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
        Record that was judged.
    refutation : int
        Number of the refutation that was judged.
    liveness : Liveness
        What is held of the member.
    """

    node: str
    incarnation: int
    version: int
    refutation: int
    liveness: Liveness

    @property
    def rank(self) -> Rank:
        """Order of verdicts on one member; the greatest holds."""
        return (
            self.incarnation,
            self.version,
            self.refutation,
            self.liveness,
        )

    @property
    def content(self) -> tuple[int, int]:
        """Incarnation and version."""
        return (self.incarnation, self.version)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One node and its target.

    Attributes
    ----------
    node : str
        Identity of the node.
    incarnation : int
        Grows with each start of the node.
    version : int
        Grows with each change of the record within one incarnation.
    host : str
        IP number of the node.
    inner_port, gossip_port : int
        Ports of the inner protocol (TCP) and of gossip (UDP).
    data_centre : str
        Data centre of the node.
    service : str
        ``team/service`` of the target, empty without one.
    target : str
        Identity of the target, empty without one.
    phase : Phase
        Phase of the target.
    slots : int
        Requests that the target bears at once.
    liveness : Liveness
        Verdict of the failure detector.
    refutation : int
        Grows each time that the node refutes a verdict on this version.
    control_port : int
        Port at which a control host answers nodes; 0 for other members.
    """

    node: str
    incarnation: int
    version: int
    host: str
    inner_port: int
    gossip_port: int
    data_centre: str
    service: str = ''
    target: str = ''
    phase: Phase = Phase.absent
    slots: int = 0
    liveness: Liveness = Liveness.alive
    refutation: int = 0
    control_port: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether the target may be sent new work."""
        live = self.liveness is Liveness.alive
        return live and self.phase in {Phase.cold, Phase.ready}

    def supersedes(self, known: MemberRecord | None) -> bool:
        """Whether this record is newer than a known one."""
        if known is None:
            return True
        return self.rank > known.rank

    @property
    def rank(self) -> Rank:
        """Order of the records of one member; the greatest holds."""
        return self.verdict.rank

    @property
    def verdict(self) -> Verdict:
        """The record without its content."""
        return Verdict(
            self.node,
            self.incarnation,
            self.version,
            self.refutation,
            self.liveness,
        )
