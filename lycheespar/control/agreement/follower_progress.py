"""Replication progress of the other control hosts, and what to send them."""

from __future__ import annotations

from typing import Final

from lycheespar.control.agreement.peer_messages import (
    Append,
    Install,
    LogPosition,
)
from lycheespar.control.agreement.quorum import NEVER, Voter
from lycheespar.control.agreement.replica import Replica

ENTRIES_PER_MESSAGE: Final = 64


class FollowerProgress:
    """Replication progress of one other control host, as the leader knows it.

    Parameters
    ----------
    host : str
        Name of the control host.
    next_index : int
        Index of the next entry to send.
    known_since : float
        Time at which replication to the host began.

    Attributes
    ----------
    matched : int
        Index up to which the host has synced the leader's log.
    disk : str
        Id of the host's disk; empty before its first reply.
    acknowledged_at : float
        Time at which the newest acknowledged message was sent.
    has_free_space : bool
        Whether the host's disk has free space for changes.
    """

    __slots__ = (
        'acknowledged_at',
        'disk',
        'has_free_space',
        'host',
        'known_since',
        'matched',
        'next_index',
    )

    def __init__(self, host: str, next_index: int, known_since: float) -> None:
        """Create the progress of a host that has not replied yet."""
        self.host = host
        self.next_index = next_index
        self.known_since = known_since
        self.matched = 0
        self.disk = ''
        self.acknowledged_at = NEVER
        self.has_free_space = False

    @property
    def voter(self) -> Voter:
        """Name and disk id by which the host votes."""
        return self.host, self.disk


def next_message(
    follower: FollowerProgress,
    replica: Replica,
    term: int,
) -> Append | Install:
    """Return the next message of the leader to a host.

    The whole state is sent if the log no longer has the preceding entry.
    """
    previous = follower.next_index - 1
    previous_term = replica.log.term_at(previous)
    if previous_term is None:
        state = replica.snapshot()
        return Install(state.group, term, replica.name, state)
    entries = replica.log.entries(follower.next_index, ENTRIES_PER_MESSAGE)
    return Append(
        replica.state.group,
        term,
        replica.name,
        LogPosition(previous, previous_term),
        tuple(entries),
        replica.state.index,
    )
