"""Quorums of sets of voters."""

from __future__ import annotations

from itertools import chain, combinations

import msgspec
import pytest

from lycheespar.control.agreement.quorum import has_quorum
from lycheespar.control.state.entries import (
    LogEntry,
    ReplaceDisk,
    Voters,
    apply_voter_change,
)
from lycheespar.control.state.state import GroupState


def _voters(count: int) -> Voters:
    return {f'control-{number}': f'disk-{number}' for number in range(count)}


def _quorums(voters: Voters) -> list[frozenset[tuple[str, str]]]:
    """Return all subsets of the voters that are quorums."""
    sizes = range(len(voters) + 1)
    subsets = chain.from_iterable(
        combinations(voters.items(), size) for size in sizes
    )
    return [
        frozenset(found) for found in subsets if has_quorum([voters], found)
    ]


@pytest.mark.parametrize('count', range(1, 8))
def test_two_quorums_always_have_a_voter_in_common(count):
    """Otherwise, two leaders could commit different entries."""
    quorums = _quorums(_voters(count))
    assert all(one & other for one in quorums for other in quorums)


@pytest.mark.parametrize('count', range(1, 8))
def test_more_than_half_of_the_voters_are_a_quorum(count):
    """The platform expects service from such a part of the control hosts."""
    quorums = _quorums(_voters(count))
    voters = _voters(count).items()
    least = count // 2 + 1
    assert all(
        frozenset(found) in quorums for found in combinations(voters, least)
    )


@pytest.mark.parametrize('count', range(2, 8))
def test_no_single_voter_is_a_quorum(count):
    """The loss of its disk would lose accepted changes."""
    assert min(len(quorum) for quorum in _quorums(_voters(count))) > 1


def test_any_two_hosts_may_be_lost_once_a_fourth_has_joined():
    """A successor must make up for the host that it is to replace."""
    joined = apply_voter_change(_voters(3), ReplaceDisk('successor', 'disk'))
    quorums = _quorums(joined)
    survivors = [('successor', 'disk'), ('control-1', 'disk-1')]
    assert frozenset(survivors) in quorums


def test_the_order_of_the_voters_survives_a_snapshot():
    """Hosts that disagree on it would count votes differently."""
    joined = apply_voter_change(_voters(3), ReplaceDisk('a', 'disk'))
    state = GroupState(voters=joined)
    restored = msgspec.msgpack.decode(
        msgspec.msgpack.encode(state), type=GroupState
    )
    assert list(restored.voters) == list(joined)
    entry = LogEntry(1, 1, ReplaceDisk('control-0', 'other'))
    restored.apply(entry)
    assert list(restored.voters) == list(joined)
