"""Messages between nodes and control hosts.

They are sent over ZeroMQ; each request gets one reply with the same serial
number.
"""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Change
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.decoding import Name
from lycheespar.rollouts.evidence import TargetEvidence
from lycheespar.targets.departures import Departure


class Pull(msgspec.Struct, frozen=True, tag='pull'):
    """Request of a node for the changes after its revision.

    Attributes
    ----------
    node : str
        Identity of the node.
    revision : int
        Revision that is in force at the node.
    wait_s : float
        Time in seconds for which the host may wait for a change before it
        replies.
    accepts_packed : bool
        Whether the node can unpack compressed replies.
    """

    node: str
    revision: int
    wait_s: float
    accepts_packed: bool = False


class PullReply(msgspec.Struct, frozen=True, tag='pull_reply'):
    """Reply to `Pull`: a list of changes, or the whole configuration.

    Attributes
    ----------
    stamp : Stamp
        Newest freshness stamp known to the control host.
    changes : tuple[Change, ...]
        Accepted changes in order, beginning after the base revision.
    configuration : Configuration | None
        Whole configuration, if the changes since the node's revision are no
        longer stored; `changes` then follow its revision.
    held_ms : float
        Time in milliseconds between the receipt of the pull and the moment to
        which the age in the stamp refers.
    base_revision : int
        Revision that the first change follows; negative for the revision in
        the request.
    packed : bytes
        Changes and configuration, compressed; empty if they are not.
    """

    stamp: Stamp
    changes: tuple[Change, ...] = ()
    configuration: Configuration | None = None
    held_ms: float = 0
    base_revision: int = -1
    packed: bytes = b''


class Claim(msgspec.Struct, frozen=True, gc=False, tag='claim'):
    """Request of a node to claim an idempotency key for one attempt.

    Attributes
    ----------
    key : bytes
        Digest of the service and the idempotency key.
    attempt : bytes
        Random identifier of the attempt.
    fingerprint : bytes
        Digest of the request.
    holder : str
        Identity of the node that makes the attempt.
    incarnation : int
        Incarnation of that node.
    retention_s : float
        Time in seconds after which the claim expires.
    """

    key: bytes
    attempt: bytes
    fingerprint: bytes = b''
    holder: str = ''
    incarnation: int = 0
    retention_s: float = 0


class Release(msgspec.Struct, frozen=True, gc=False, tag='release'):
    """Ends the claim of an attempt that did not start and never will."""

    key: bytes
    attempt: bytes


class ClaimReply(msgspec.Struct, frozen=True, tag='claim_reply'):
    """Reply with the claim that holds the key, or that was released."""

    claim: Claim


class ReportEvidence(msgspec.Struct, frozen=True, tag='report_evidence'):
    """Report of a node on the calls at its target during a roll-out."""

    evidence: TargetEvidence


class EvidenceNoted(msgspec.Struct, frozen=True, tag='evidence_noted'):
    """Reply to `ReportEvidence`."""


class RecordDeparture(msgspec.Struct, frozen=True, tag='record_departure'):
    """Request of a node to store a departure before it acknowledges it.

    Attributes
    ----------
    node : str
        Identity of the node.
    departure : Departure
        The departure of a target beside the node.
    """

    node: Name
    departure: Departure


class DepartureRecorded(msgspec.Struct, frozen=True, tag='departure_recorded'):
    """Reply to `RecordDeparture`: no failure that is borne can lose it."""


class AskDepartures(msgspec.Struct, frozen=True, tag='ask_departures'):
    """Request of a node that has started for the departures of its targets.

    Attributes
    ----------
    node : str
        Identity of the node.
    """

    node: Name


class DeparturesReply(msgspec.Struct, frozen=True, tag='departures_reply'):
    """Reply to `AskDepartures`.

    Attributes
    ----------
    departures : tuple[Departure, ...]
        All departures that were recorded for the node before the request, but
        for old ones beyond the limit.
    """

    departures: tuple[Departure, ...]


class Failure(msgspec.Struct, frozen=True, tag='failure'):
    """Reply to a request that failed.

    Attributes
    ----------
    code : str
        Code of the error.
    detail : str
        Short explanation for humans.
    """

    code: str
    detail: str


ControlRequest = (
    Pull | Claim | Release | ReportEvidence | RecordDeparture | AskDepartures
)
ControlReply = (
    PullReply
    | ClaimReply
    | EvidenceNoted
    | DepartureRecorded
    | DeparturesReply
    | Failure
)
