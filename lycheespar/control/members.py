"""What the leader knows of the other control hosts, and sends them."""

from __future__ import annotations

from typing import Final

from lycheespar.control.peer_messages import Append, Install, Mark
from lycheespar.control.quorum import NEVER, Voter
from lycheespar.control.replica import Replica

ENTRIES_PER_MESSAGE: Final = 64


class Member:
    """What the leader knows of one other control host.

    Parameters
    ----------
    host : str
        Name of the control host.
    next_index : int
        First entry to send.

    Attributes
    ----------
    matched : int
        Index up to which it has synced the leader's log.
    disk : str
        Id of its disk; empty before its first reply.
    acknowledged_at : float
        When the newest message that it acknowledged was sent.
    room : bool
        Whether its disk has room for changes.
    """

    __slots__ = (
        'acknowledged_at',
        'disk',
        'host',
        'matched',
        'next_index',
        'room',
    )

    def __init__(self, host: str, next_index: int) -> None:
        """Start without a reply."""
        self.host = host
        self.next_index = next_index
        self.matched = 0
        self.disk = ''
        self.acknowledged_at = NEVER
        self.room = False

    @property
    def voter(self) -> Voter:
        """Host and disk."""
        return self.host, self.disk


def request_for(
    member: Member,
    replica: Replica,
    term: int,
) -> Append | Install:
    """Build the next message of a leader to a member."""
    previous = member.next_index - 1
    previous_term = replica.log.term_at(previous)
    if previous_term is None:
        state = replica.snapshot()
        return Install(state.group, term, replica.name, state)
    entries = replica.log.entries(member.next_index, ENTRIES_PER_MESSAGE)
    return Append(
        replica.state.group,
        term,
        replica.name,
        Mark(previous, previous_term),
        tuple(entries),
        replica.state.index,
    )
