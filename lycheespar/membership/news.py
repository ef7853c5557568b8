"""News that wait to be sent: changes of members and broadcast facts."""

from __future__ import annotations

from typing import Final

from lycheespar.membership.broadcast import Broadcast, BroadcastTable
from lycheespar.membership.messages import News, encoded_size
from lycheespar.membership.records import MemberRecord, Verdict
from lycheespar.membership.retransmission import (
    RetransmitQueue,
    retransmit_limit,
)
from lycheespar.membership.view import MembershipView

# Share of the room that facts may take while members are waiting too.
_FACTS_SHARE: Final = 0.5


class NewsQueue:
    """Collects news and hands them out a bounded number of times.

    Parameters
    ----------
    members : MembershipView
        Table whose size sets the bound.
    broadcasts : BroadcastTable
        Facts that hold now.
    """

    __slots__ = ('_broadcasts', '_facts', '_members', '_queue')

    def __init__(
        self,
        members: MembershipView,
        broadcasts: BroadcastTable,
    ) -> None:
        """Follow the facts."""
        self._members = members
        self._broadcasts = broadcasts
        self._queue: RetransmitQueue[MemberRecord | Verdict] = RetransmitQueue()
        self._facts: RetransmitQueue[tuple[str, bytes]] = RetransmitQueue()
        broadcasts.arrivals.subscribe(self._add_fact)

    def __len__(self) -> int:
        """Return the number of news that wait."""
        return len(self._queue) + len(self._facts)

    def add(self, item: MemberRecord | Verdict) -> None:
        """Add a record, or a verdict on a record that others hold."""
        self._queue.put(item.node, item, encoded_size(item))

    def discard(self, node: str) -> None:
        """Drop the news of a member."""
        self._queue.discard(node)

    def take(self, room: int) -> News:
        """Return news that fit into some bytes."""
        if room <= 0 or not len(self):
            return News()
        limit = retransmit_limit(len(self._members))
        share = int(room * _FACTS_SHARE) if len(self._queue) else room
        facts = self._take_facts(share, limit)
        room -= sum(encoded_size(fact) for fact in facts)
        items = self._queue.take(room, limit)
        return News(
            tuple(item for item in items if isinstance(item, MemberRecord)),
            tuple(item for item in items if isinstance(item, Verdict)),
            facts,
        )

    def _take_facts(self, room: int, limit: int) -> tuple[Broadcast, ...]:
        keys = self._facts.take(room, limit)
        found = (self._broadcasts.get(topic, key) for topic, key in keys)
        return tuple(fact for fact in found if fact is not None)

    def _add_fact(self, fact: Broadcast) -> None:
        name = f'{fact.topic}/{fact.key.hex()}'
        self._facts.put(name, (fact.topic, fact.key), encoded_size(fact))
