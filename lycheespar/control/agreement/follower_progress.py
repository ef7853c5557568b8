"""Replication progress of the other control hosts, as the leader knows it."""

from __future__ import annotations

from lycheespar.control.agreement.peer_messages import AppendReply
from lycheespar.control.agreement.quorum import NEVER, Voter


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
    agrees : bool
        Whether the host's log is known to agree with the leader's before
        `next_index`.
    disk : str
        Id of the host's disk; empty before its first reply.
    acknowledged_at : float
        Time at which the newest acknowledged message was sent.
    accepts_changes : bool
        Whether the host can store changes.
    leaving : bool
        Whether the host is about to stop and gives its vote back.
    """

    __slots__ = (
        'accepts_changes',
        'acknowledged_at',
        'agrees',
        'disk',
        'host',
        'known_since',
        'leaving',
        'matched',
        'next_index',
    )

    def __init__(self, host: str, next_index: int, known_since: float) -> None:
        """Create the progress of a host that has not replied yet."""
        self.host = host
        self.next_index = next_index
        self.known_since = known_since
        self.matched = 0
        self.agrees = False
        self.disk = ''
        self.acknowledged_at = NEVER
        self.accepts_changes = False
        self.leaving = False

    @property
    def voter(self) -> Voter:
        """Name and disk id by which the host votes."""
        return self.host, self.disk

    def update(self, reply: AppendReply, sent_at: float) -> None:
        """Apply the reply to a message that was sent at a given time.

        Replies may arrive in another order than their requests were sent. A
        disk keeps the entries that it has acknowledged, so a reply that was
        overtaken by another one of the same disk takes nothing back.
        """
        if reply.disk != self.disk and sent_at < self.acknowledged_at:
            return
        reached = reply.index
        if reply.matched and self.agrees and reply.disk == self.disk:
            reached = max(self.matched, reply.index)
        self.matched = reached if reply.matched else 0
        self.next_index = reached + 1
        self.agrees = reply.matched
        self.disk = reply.disk
        self.accepts_changes = reply.room
        self.leaving = reply.leaving
        self.acknowledged_at = max(self.acknowledged_at, sent_at)
