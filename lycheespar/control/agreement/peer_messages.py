"""Messages between control hosts.

Each request gets one reply. Requests that arrive late or twice are harmless:
their terms and indexes are checked before they take effect.
"""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.messages import Failure
from lycheespar.control.state.entries import (
    LogEntry,
    TargetDeparted,
    Voters,
)
from lycheespar.control.state.state import CommandOutcome, GroupState
from lycheespar.rollouts.evidence import TargetEvidence


class LogPosition(msgspec.Struct, frozen=True, array_like=True):
    """Position of an entry in the log.

    Attributes
    ----------
    index, term : int
        Index and term of the entry.
    """

    index: int = 0
    term: int = 0


class Identify(msgspec.Struct, frozen=True, tag='identify'):
    """Asks a control host for its identity before the group is formed."""


class Identified(msgspec.Struct, frozen=True, tag='identified'):
    """Reply to `Identify`: the identity of a control host.

    Attributes
    ----------
    disk : str
        Identifier of its disk.
    group : str
        Identifier of its group; empty without a group.
    founders : Voters
        Initial voters of the group.
    """

    disk: str
    group: str
    founders: Voters


class Join(msgspec.Struct, frozen=True, tag='join'):
    """Request of a control host without a leader to be sent the log.

    Attributes
    ----------
    host : str
        Name of the control host.
    """

    host: str


class Joined(msgspec.Struct, frozen=True, tag='joined'):
    """Reply to `Join`.

    Attributes
    ----------
    leader : str
        Leader known to the sender; empty if none is known.
    hosts : tuple[str, ...]
        Control hosts known to the sender.
    """

    leader: str
    hosts: tuple[str, ...]


class RequestVote(msgspec.Struct, frozen=True, tag='request_vote'):
    """Request of a candidate for a vote.

    Attributes
    ----------
    group : str
        Identifier of the group.
    term : int
        Term for which the candidate asks to be elected.
    host, disk : str
        Name of the candidate and identifier of its disk.
    last : LogPosition
        Last entry of the candidate's log.
    committed : LogPosition
        Newest entry that the candidate knows to be committed.
    trial : bool
        Whether this is a pre-vote, which only asks how the voter would vote.
    """

    group: str
    term: int
    host: str
    disk: str
    last: LogPosition
    committed: LogPosition
    trial: bool


class VoteReply(msgspec.Struct, frozen=True, tag='vote_reply'):
    """Reply to `RequestVote`.

    Attributes
    ----------
    term : int
        Newest term known to the voter.
    granted : bool
        Whether the voter votes for the candidate.
    disk : str
        Identifier of the voter's disk.
    committed : LogPosition
        Newest entry that the voter knows to be committed.
    """

    term: int
    granted: bool
    disk: str
    committed: LogPosition


class Append(msgspec.Struct, frozen=True, tag='append'):
    """Entries of the leader's log; a heartbeat if there are none.

    Attributes
    ----------
    group : str
        Identifier of the group.
    term : int
        Term of the leader.
    leader : str
        Name of the leader.
    previous : LogPosition
        Entry that precedes `entries`.
    entries : tuple[LogEntry, ...]
        Entries in the order of the log.
    committed : int
        Index up to which the leader's log is committed.
    """

    group: str
    term: int
    leader: str
    previous: LogPosition
    entries: tuple[LogEntry, ...]
    committed: int


class Install(msgspec.Struct, frozen=True, tag='install'):
    """State of the leader, sent if its log lacks the entries for `Append`.

    Attributes
    ----------
    group, term, leader
        As in `Append`.
    state : GroupState
        State that replaces an older state of the follower.
    """

    group: str
    term: int
    leader: str
    state: GroupState


class AppendReply(msgspec.Struct, frozen=True, tag='append_reply'):
    """Reply to `Append` and `Install`.

    Attributes
    ----------
    term : int
        Newest term known to the follower.
    matched : bool
        Whether the follower has the previous entry.
    index : int
        Index up to which the follower's log equals the leader's and is
        synced to disk. If `matched` is false, the index up to which the logs
        may agree; the leader asks about that one next.
    disk : str
        Identifier of the follower's disk.
    room : bool
        Whether the follower can store changes: its disk has free space and
        its log is usable.
    leaving : bool
        Whether the follower is about to stop and gives its vote back.
    """

    term: int
    matched: bool
    index: int
    disk: str
    room: bool = True
    leaving: bool = False


class AskStamp(msgspec.Struct, frozen=True, tag='ask_stamp'):
    """Asks the leader for its newest freshness stamp."""


class StampReply(msgspec.Struct, frozen=True, tag='stamp_reply'):
    """Reply to `AskStamp`."""

    stamp: Stamp


class AskReadIndex(msgspec.Struct, frozen=True, tag='ask_read_index'):
    """Asks the leader for the committed index, confirmed by a quorum."""


class ReadIndex(msgspec.Struct, frozen=True, tag='read_index'):
    """Reply to `AskReadIndex`.

    Attributes
    ----------
    index : int
        A state that includes this index was current after the request.
    """

    index: int


class Propose(msgspec.Struct, frozen=True, tag='propose'):
    """Forwards a command of an operator to the leader."""

    command: Command


class Proposed(msgspec.Struct, frozen=True, tag='proposed'):
    """Reply to `Propose`."""

    outcome: CommandOutcome


class ProposeDeparture(msgspec.Struct, frozen=True, tag='propose_departure'):
    """Forwards the departure of a target beside a node to the leader.

    Attributes
    ----------
    content : TargetDeparted
        The entry to append.
    """

    content: TargetDeparted


class DepartureCommitted(
    msgspec.Struct, frozen=True, tag='departure_committed'
):
    """Reply to `ProposeDeparture`."""


class AskProgress(msgspec.Struct, frozen=True, tag='ask_progress'):
    """Asks which revision each node has reported, and how long ago."""


class NodeProgress(msgspec.Struct, frozen=True):
    """Newest report of one node.

    Attributes
    ----------
    node : str
        Identity of the node.
    revision : int
        Revision in force at the node.
    age_s : float
        Age of the report in seconds.
    """

    node: str
    revision: int
    age_s: float


class ProgressReply(msgspec.Struct, frozen=True, tag='progress_reply'):
    """Reply to `AskProgress`."""

    nodes: tuple[NodeProgress, ...]


class AskEvidence(msgspec.Struct, frozen=True, tag='ask_evidence'):
    """Asks for the evidence on versions that nodes have reported."""


class EvidenceReply(msgspec.Struct, frozen=True, tag='evidence_reply'):
    """Reply to `AskEvidence`."""

    reports: tuple[TargetEvidence, ...]


PeerRequest = (
    Identify
    | Join
    | RequestVote
    | Append
    | Install
    | AskStamp
    | AskReadIndex
    | Propose
    | ProposeDeparture
    | AskProgress
    | AskEvidence
)
PeerReply = (
    Identified
    | Joined
    | VoteReply
    | AppendReply
    | StampReply
    | ReadIndex
    | Proposed
    | DepartureCommitted
    | ProgressReply
    | EvidenceReply
    | Failure
)
