"""Entries of the replicated log."""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Command
from lycheespar.targets.departures import Departure

# Disk ids of the voters by name of their control host, in the order in which
# the hosts were admitted; entries and snapshots keep that order.
Voters = dict[str, str]


class FormGroup(msgspec.Struct, frozen=True, tag='form_group'):
    """First entry of the log: names the group and its first voters.

    Attributes
    ----------
    group : str
        Random id of the group.
    voters : Voters
        Disk id of each control host that votes.
    """

    group: str
    voters: Voters


class ReplaceDisk(msgspec.Struct, frozen=True, tag='replace_disk'):
    """Makes the disk of a control host a voter.

    Attributes
    ----------
    host : str
        Name of the control host.
    disk : str
        Id of the disk that votes from this entry on.
    removed : str
        Name of the voter that the host replaces; empty if it replaces its own
        former disk or is an additional voter.
    """

    host: str
    disk: str
    removed: str = ''


class RemoveVoter(msgspec.Struct, frozen=True, tag='remove_voter'):
    """Removes a silent control host from the voters.

    Attributes
    ----------
    host : str
        Name of the control host.
    """

    host: str


class BeginTerm(msgspec.Struct, frozen=True, tag='begin_term'):
    """First entry of a new leader.

    Its commitment also commits the entries of former terms before it.
    """


class Proposal(msgspec.Struct, frozen=True, tag='proposal'):
    """A command of an operator.

    Attributes
    ----------
    command : Command
        The command; its outcome is determined when the entry is applied.
    """

    command: Command


class TargetDeparted(msgspec.Struct, frozen=True, tag='target_departed'):
    """A departure that the node beside the target is about to acknowledge.

    Attributes
    ----------
    node : str
        Identity of the node.
    departure : Departure
        The departure.
    """

    node: str
    departure: Departure


VoterChange = ReplaceDisk | RemoveVoter
Content = FormGroup | VoterChange | BeginTerm | Proposal | TargetDeparted


def apply_voter_change(voters: Voters, change: VoterChange) -> Voters:
    """Return the voters that result from a change."""
    match change:
        case ReplaceDisk(host, disk, removed):
            kept = _without(voters, removed)
            return kept | {host: disk}
        case RemoveVoter(host):
            return _without(voters, host)


def _without(voters: Voters, removed: str) -> Voters:
    return {host: disk for host, disk in voters.items() if host != removed}


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the log.

    Attributes
    ----------
    index : int
        Position in the log, starting at 1.
    term : int
        Term of the leader that appended it.
    content : Content
        Effect of the entry on the state.
    """

    index: int
    term: int
    content: Content


FIRST_INDEX = 1
FIRST_TERM = 1
