"""Entries of the replicated log."""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Command

# Disk ids of the voters by name of their control host.
Voters = dict[str, str]


class FormGroup(msgspec.Struct, frozen=True, tag='form_group'):
    """First entry: names the group and its first voters.

    Attributes
    ----------
    group : str
        Random id of the group.
    voters : Voters
        Disk id of each control host.
    """

    group: str
    voters: Voters


class ReplaceDisk(msgspec.Struct, frozen=True, tag='replace_disk'):
    """Gives a control host's disk the vote.

    Attributes
    ----------
    host : str
        Name of the control host.
    disk : str
        Id of the disk that votes from now on.
    removed : str
        Name of the host whose place it takes; empty where it takes that of
        its own former disk, or is one more.
    """

    host: str
    disk: str
    removed: str = ''


class RemoveVoter(msgspec.Struct, frozen=True, tag='remove_voter'):
    """Takes the vote of a control host that is gone.

    Attributes
    ----------
    host : str
        Name of the control host.
    """

    host: str


class BeginTerm(msgspec.Struct, frozen=True, tag='begin_term'):
    """First entry of a new leader; it commits the entries before it."""


class Proposal(msgspec.Struct, frozen=True, tag='proposal'):
    """A command of an operator.

    Attributes
    ----------
    command : Command
        The command, whose outcome is decided when the entry is applied.
    """

    command: Command


VoterChange = ReplaceDisk | RemoveVoter
Content = FormGroup | VoterChange | BeginTerm | Proposal


def changed_voters(voters: Voters, change: VoterChange) -> Voters:
    """Return the voters after a change."""
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
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    content : Content
        What it does.
    """

    index: int
    term: int
    content: Content


FIRST_INDEX = 1
FIRST_TERM = 1
