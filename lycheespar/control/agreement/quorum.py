"""Quorums: majorities of one or more sets of voters.

Of an even number of voters, the one that was admitted last has two votes. So a
host that joins before another one is replaced makes up for the loss of that
one: any two of four hosts may be lost as long as the last one remains. More
than half of the hosts are always a quorum, and two quorums always have a host
in common.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from lycheespar.control.state.entries import (
    LogEntry,
    RemoveVoter,
    ReplaceDisk,
    Voters,
    apply_voter_change,
)

# Name of a control host and id of its disk.
Voter = tuple[str, str]

NEVER: Final = float('-inf')
# Least number of voters of which one has two votes. With fewer, it would be a
# quorum on its own.
_MIN_VOTERS_FOR_TWO_VOTES: Final = 4


def voter_sets(
    committed: Voters,
    pending: Iterable[LogEntry],
) -> tuple[Voters, ...]:
    """Return the sets of voters, each of which must give a majority now.

    Parameters
    ----------
    committed : Voters
        Voters according to the entries known to be committed.
    pending : Iterable[LogEntry]
        Entries not known to be committed. Each change of the voters adds a
        set, so that the change needs majorities of the old and new voters.
    """
    sets = [committed]
    for entry in pending:
        match entry.content:
            case ReplaceDisk() | RemoveVoter() as change:
                sets.append(apply_voter_change(sets[-1], change))
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
        Value of each voter; a voter without a value counts as `NEVER`.
    """
    return min(_majority_value(voters, reached) for voters in sets)


def has_quorum(sets: Iterable[Voters], granted: Iterable[Voter]) -> bool:
    """Whether a majority of each set is among the given voters."""
    return quorum_value(sets, dict.fromkeys(granted, 1)) == 1


def _majority_value(voters: Voters, reached: Mapping[Voter, float]) -> float:
    if not voters:
        return NEVER
    votes = [reached.get(voter, NEVER) for voter in voters.items()]
    if len(votes) % 2 == 0 and len(votes) >= _MIN_VOTERS_FOR_TWO_VOTES:
        votes.append(votes[-1])
    return sorted(votes, reverse=True)[len(votes) // 2]
