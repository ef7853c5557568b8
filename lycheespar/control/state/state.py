"""Replicated state, built by applying the log entries in order."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.configuration.changes import (
    Command,
    apply,
    is_base_current,
    is_base_outdated,
)
from lycheespar.configuration.model import Configuration
from lycheespar.control.state.departures import (
    DepartureTable,
    add_departure,
    is_recorded,
)
from lycheespar.control.state.entries import (
    BeginTerm,
    FormGroup,
    LogEntry,
    Proposal,
    RemoveVoter,
    ReplaceDisk,
    TargetDeparted,
    Voters,
    apply_voter_change,
)
from lycheespar.errors import ChangeConflictError, ChangeInvalidError

# Change ids whose outcome is stored; the oldest are evicted first.
MAX_OUTCOMES: Final = 10_000
# Accepted changes stored for the history and for nodes that lag behind: their
# number, and their size in bytes. The newest one is stored whatever its size.
MAX_HISTORY: Final = 1000
MAX_HISTORY_BYTES: Final = 1024 * 1024

_encoder: Final = msgspec.msgpack.Encoder()


class Accepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The command was accepted and created a revision."""

    revision: int


class Conflicted(msgspec.Struct, frozen=True, tag='conflicted'):
    """The command was based on another revision than the current one."""

    revision: int


class Invalid(msgspec.Struct, frozen=True, tag='invalid'):
    """The command is invalid, with a list of its problems."""

    problems: tuple[str, ...]


CommandOutcome = Accepted | Conflicted | Invalid


class AcceptedChange(msgspec.Struct, frozen=True):
    """One accepted change in the history.

    Attributes
    ----------
    revision : int
        Revision that the command created.
    command : Command
        The command.
    size : int
        Encoded size of the command in bytes; 0 if an older version stored it.
    """

    revision: int
    command: Command
    size: int = 0

    @property
    def size_bytes(self) -> int:
        """Encoded size of the command in bytes."""
        return self.size or len(_encoder.encode(self.command))


class GroupState(msgspec.Struct):
    """State after applying the log entries up to an index.

    Attributes
    ----------
    index, term : int
        Position and term of the last applied entry.
    group : str
        Id of the group; empty until it is formed.
    founders : Voters
        First voters of the group.
    voters : Voters
        Disk id of each control host that votes.
    configuration : Configuration
        The current configuration.
    outcomes : dict[str, CommandOutcome]
        Outcomes by change id, oldest first.
    history : list[AcceptedChange]
        The most recent accepted changes, oldest first.
    departures : DepartureTable
        Departures of targets by the node beside them.
    """

    index: int = 0
    term: int = 0
    group: str = ''
    founders: Voters = {}
    voters: Voters = {}
    configuration: Configuration = Configuration()
    outcomes: dict[str, CommandOutcome] = {}
    history: list[AcceptedChange] = []
    departures: DepartureTable = {}

    @property
    def revision(self) -> int:
        """Revision of the configuration."""
        return self.configuration.revision

    def apply(self, entry: LogEntry) -> None:
        """Apply the next entry of the log."""
        self.index = entry.index
        self.term = entry.term
        match entry.content:
            case FormGroup(group, voters):
                self.group = group
                self.founders = voters
                self.voters = voters
            case ReplaceDisk() | RemoveVoter():
                self.voters = apply_voter_change(self.voters, entry.content)
            case Proposal(command):
                self._apply_command(command)
            case TargetDeparted(node, departure):
                add_departure(self.departures, node, departure)
            case BeginTerm():
                return

    def known_outcome(self, command: Command) -> CommandOutcome | None:
        """Return the outcome of a command if it is already certain.

        A command that is rejected here can't be accepted later: revisions
        only grow, and a change is validated against its own base revision.
        """
        known = self.outcomes.get(command.change_id)
        if known is not None:
            return known
        if is_base_outdated(self.configuration, command):
            return Conflicted(self.revision)
        if not is_base_current(self.configuration, command):
            return None
        try:
            apply(self.configuration, command.change)
        except ChangeInvalidError as error:
            return Invalid(error.problems)
        return None

    def has_departure(self, content: TargetDeparted) -> bool:
        """Whether a departure, or a later one of the target, is stored."""
        return is_recorded(self.departures, content.node, content.departure)

    def accepted_since(self, revision: int) -> list[AcceptedChange] | None:
        """Return the changes after a revision; None if some are evicted."""
        missing = self.revision - revision
        if missing <= 0:
            return []
        if missing > len(self.history):
            return None
        return self.history[-missing:]

    def _apply_command(self, command: Command) -> None:
        if command.change_id in self.outcomes:
            return
        self.outcomes[command.change_id] = self._execute(command)
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.pop(next(iter(self.outcomes)))

    def _execute(self, command: Command) -> CommandOutcome:
        if not is_base_current(self.configuration, command):
            return Conflicted(self.revision)
        try:
            self.configuration = apply(self.configuration, command.change)
        except ChangeInvalidError as error:
            return Invalid(error.problems)
        size = len(_encoder.encode(command))
        self.history.append(AcceptedChange(self.revision, command, size))
        self._evict_history()
        return Accepted(self.revision)

    def _evict_history(self) -> None:
        """Remove the oldest changes beyond the limits of the history."""
        first = max(len(self.history) - MAX_HISTORY, 0)
        sizes = [accepted.size_bytes for accepted in self.history]
        total_bytes = sum(sizes[first:])
        while total_bytes > MAX_HISTORY_BYTES and first < len(sizes) - 1:
            total_bytes -= sizes[first]
            first += 1
        self.history = self.history[first:]


def revision_of(outcome: CommandOutcome) -> int:
    """Return the revision that a command created.

    Raises
    ------
    ChangeConflictError
        The command was based on another revision than the current one.
    ChangeInvalidError
        The command is invalid.
    """
    match outcome:
        case Accepted(revision):
            return revision
        case Conflicted(revision):
            raise ChangeConflictError(
                f'the current revision is {revision}',
                revision,
            )
        case Invalid(problems):
            raise ChangeInvalidError(problems)
