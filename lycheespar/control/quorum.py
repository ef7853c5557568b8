"""Majorities of the voters."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from lycheespar.control.entries import (
    LogEntry,
    RemoveVoter,
    ReplaceDisk,
    Voters,
    changed_voters,
)

# A voter: name of the control host and id of its disk.
Voter = tuple[str, str]

NEVER: Final = float('-inf')


def voter_sets(
    committed: Voters,
    pending: Iterable[LogEntry],
) -> tuple[Voters, ...]:
    """Return all sets of voters of which a majority is needed now.

    Parameters
    ----------
    committed : Voters
        Voters by the entries known to be committed.
    pending : Iterable[LogEntry]
        Entries that are not known to be committed. Each that changes the
        voters adds a set, so that the old voters commit the change too.
    """
    sets = [committed]
    for entry in pending:
        match entry.content:
            case ReplaceDisk() | RemoveVoter() as change:
                sets.append(changed_voters(sets[-1], change))
    return tuple(sets)


def quorum_value(
    sets: Iterable[Voters],
    reached: Mapping[Voter, float],
) -> float:
    """Return the highest value that a majority of each set has reached.

    Parameters
    ----------
    sets : Iterable[Voters]
        Sets of voters.
    reached : Mapping[Voter, float]
        Value of each voter; missing ones have reached nothing.
    """
    return min(_majority_value(voters, reached) for voters in sets)


def has_quorum(sets: Iterable[Voters], granted: Iterable[Voter]) -> bool:
    """Whether a majority of each set is among the given voters."""
    return quorum_value(sets, dict.fromkeys(granted, 1)) == 1


def _majority_value(voters: Voters, reached: Mapping[Voter, float]) -> float:
    if not voters:
        return NEVER
    ordered = sorted(
        (reached.get(voter, NEVER) for voter in voters.items()),
        reverse=True,
    )
    return ordered[len(ordered) // 2]
