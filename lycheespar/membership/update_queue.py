"""Queue of updates to send: changes of members and broadcasts."""

from __future__ import annotations

from typing import Final

from lycheespar.membership.broadcast import Broadcast, BroadcastTable
from lycheespar.membership.messages import Updates, encoded_size
from lycheespar.membership.records import MemberRecord, Verdict
from lycheespar.membership.retransmission import (
    RetransmitQueue,
    retransmit_limit,
)
from lycheespar.membership.view import MembershipView

# Maximum share of a datagram for broadcasts while member changes are queued.
_BROADCASTS_SHARE: Final = 0.5


class UpdateQueue:
    """Queue of updates, each of which is sent a bounded number of times.

    Parameters
    ----------
    members : MembershipView
        Member table, whose size determines the bound.
    broadcasts : BroadcastTable
        Broadcasts that have not expired.
    """

    __slots__ = ('_broadcast_queue', '_broadcasts', '_member_queue', '_members')

    def __init__(
        self,
        members: MembershipView,
        broadcasts: BroadcastTable,
    ) -> None:
        """Create an empty queue and subscribe to new broadcasts."""
        self._members = members
        self._broadcasts = broadcasts
        self._member_queue: RetransmitQueue[MemberRecord | Verdict] = (
            RetransmitQueue()
        )
        self._broadcast_queue: RetransmitQueue[tuple[str, bytes]] = (
            RetransmitQueue()
        )
        broadcasts.new_broadcasts.subscribe(self._add_broadcast)

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._member_queue) + len(self._broadcast_queue)

    def add(self, item: MemberRecord | Verdict) -> None:
        """Add a record, or a verdict on a record that other nodes have."""
        self._member_queue.put(item.node, item, encoded_size(item))

    def discard(self, node: str) -> None:
        """Drop the queued update of a member."""
        self._member_queue.discard(node)

    def take(self, room: int) -> Updates:
        """Return updates that fit into `room` bytes; count them as sent."""
        if room <= 0 or not len(self):
            return Updates()
        limit = retransmit_limit(len(self._members))
        broadcast_room = (
            int(room * _BROADCASTS_SHARE) if len(self._member_queue) else room
        )
        broadcasts_taken = self._take_broadcasts(broadcast_room, limit)
        room -= sum(encoded_size(broadcast) for broadcast in broadcasts_taken)
        items = self._member_queue.take(room, limit)
        return Updates(
            tuple(item for item in items if isinstance(item, MemberRecord)),
            tuple(item for item in items if isinstance(item, Verdict)),
            broadcasts_taken,
        )

    def _take_broadcasts(self, room: int, limit: int) -> tuple[Broadcast, ...]:
        keys = self._broadcast_queue.take(room, limit)
        broadcasts_found = (
            self._broadcasts.get(topic, key) for topic, key in keys
        )
        return tuple(
            broadcast for broadcast in broadcasts_found if broadcast is not None
        )

    def _add_broadcast(self, broadcast: Broadcast) -> None:
        name = f'{broadcast.topic}/{broadcast.key.hex()}'
        self._broadcast_queue.put(
            name,
            (broadcast.topic, broadcast.key),
            encoded_size(broadcast),
        )
