"""Messages between control hosts.

Each request is answered by one reply. Requests that were delivered late or
twice are harmless: terms and indexes decide what they may still do.
"""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Command
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.entries import LogEntry, Voters
from lycheespar.control.messages import Failure
from lycheespar.control.state import CommandOutcome, GroupState


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """Position of an entry known to be committed.

    Attributes
    ----------
    index, term : int
        Position and term of the entry.
    """

    index: int = 0
    term: int = 0


class Identify(msgspec.Struct, frozen=True, tag='identify'):
    """Asks a control host who it is; sent before the group is formed."""


class Identified(msgspec.Struct, frozen=True, tag='identified'):
    """Who a control host is.

    Attributes
    ----------
    disk : str
        Id of its disk.
    group : str
        Id of its group; empty for none.
    founders : Voters
        First voters of the group.
    """

    disk: str
    group: str
    founders: Voters


class Join(msgspec.Struct, frozen=True, tag='join'):
    """A control host that hears no leader asks to be sent the log.

    Attributes
    ----------
    host : str
        Name of the control host.
    """

    host: str


class Joined(msgspec.Struct, frozen=True, tag='joined'):
    """Answer to `Join`.

    Attributes
    ----------
    leader : str
        Leader that the sender knows; empty for none.
    hosts : tuple[str, ...]
        Control hosts that the sender knows.
    """

    leader: str
    hosts: tuple[str, ...]


class RequestVote(msgspec.Struct, frozen=True, tag='request_vote'):
    """A candidate asks for a vote.

    Attributes
    ----------
    group : str
        Id of the group.
    term : int
        Term in which the candidate would lead.
    host, disk : str
        The candidate.
    last : Mark
        Last entry of its log.
    committed : Mark
        Newest entry that it knows to be committed.
    trial : bool
        Whether this only asks how the vote would turn out (pre-vote).
    """

    group: str
    term: int
    host: str
    disk: str
    last: Mark
    committed: Mark
    trial: bool


class VoteReply(msgspec.Struct, frozen=True, tag='vote_reply'):
    """Answer to `RequestVote`.

    Attributes
    ----------
    term : int
        Newest term that the voter knows.
    granted : bool
        Whether the candidate has the vote.
    disk : str
        Id of the voter's disk.
    committed : Mark
        Newest entry that the voter knows to be committed.
    """

    term: int
    granted: bool
    disk: str
    committed: Mark


class Append(msgspec.Struct, frozen=True, tag='append'):
    """The leader sends entries, or just shows that it lives.

    Attributes
    ----------
    group : str
        Id of the group.
    term : int
        Term of the leader.
    leader : str
        Name of the leader.
    previous : Mark
        Entry before the ones sent.
    entries : tuple[LogEntry, ...]
        Entries, in order.
    committed : int
        Index up to which the log is committed.
    """

    group: str
    term: int
    leader: str
    previous: Mark
    entries: tuple[LogEntry, ...]
    committed: int


class Install(msgspec.Struct, frozen=True, tag='install'):
    """The leader sends its state, the log being too short for `Append`.

    Attributes
    ----------
    group, term, leader
        As in `Append`.
    state : GroupState
        The state.
    """

    group: str
    term: int
    leader: str
    state: GroupState


class AppendReply(msgspec.Struct, frozen=True, tag='append_reply'):
    """Answer to `Append` and `Install`.

    Attributes
    ----------
    term : int
        Newest term that the follower knows.
    matched : bool
        Whether the previous entry was found.
    index : int
        Index up to which the logs are equal, and synced.
    disk : str
        Id of the follower's disk.
    room : bool
        Whether the follower's disk has room for changes.
    """

    term: int
    matched: bool
    index: int
    disk: str
    room: bool = True


class AskStamp(msgspec.Struct, frozen=True, tag='ask_stamp'):
    """Asks the leader for its newest freshness stamp."""


class StampReply(msgspec.Struct, frozen=True, tag='stamp_reply'):
    """Answer to `AskStamp`."""

    stamp: Stamp


class AskReadIndex(msgspec.Struct, frozen=True, tag='ask_read_index'):
    """Asks the leader to confirm by a quorum what is committed now."""


class ReadIndex(msgspec.Struct, frozen=True, tag='read_index'):
    """Answer to `AskReadIndex`.

    Attributes
    ----------
    index : int
        A state up to this index is current.
    """

    index: int


class Propose(msgspec.Struct, frozen=True, tag='propose'):
    """Passes a command of an operator to the leader."""

    command: Command


class Proposed(msgspec.Struct, frozen=True, tag='proposed'):
    """Answer to `Propose`."""

    outcome: CommandOutcome


class AskProgress(msgspec.Struct, frozen=True, tag='ask_progress'):
    """Asks which revision each node reported, and how long ago."""


class NodeProgress(msgspec.Struct, frozen=True):
    """What one node reported.

    Attributes
    ----------
    node : str
        Identity of the node.
    revision : int
        Revision in force there.
    age_s : float
        Age of the report in seconds.
    """

    node: str
    revision: int
    age_s: float


class ProgressReply(msgspec.Struct, frozen=True, tag='progress_reply'):
    """Answer to `AskProgress`."""

    nodes: tuple[NodeProgress, ...]


PeerRequest = (
    Identify
    | Join
    | RequestVote
    | Append
    | Install
    | AskStamp
    | AskReadIndex
    | Propose
    | AskProgress
)
PeerReply = (
    Identified
    | Joined
    | VoteReply
    | AppendReply
    | StampReply
    | ReadIndex
    | Proposed
    | ProgressReply
    | Failure
)
