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
    """Gives the vote of a control host to its new disk.

    Attributes
    ----------
    host : str
        Name of the control host.
    disk : str
        Id of the disk that votes from now on.
    """

    host: str
    disk: str


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


Content = FormGroup | ReplaceDisk | BeginTerm | Proposal


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
