"""Items that are sent a bounded number of times, those sent least first."""

from __future__ import annotations

import itertools
import math
from typing import Final, Generic, TypeVar

RETRANSMIT_FACTOR: Final = 4
# Items that are looked at for one datagram.
_LOOK_AT: Final = 64

Item = TypeVar('Item')


def retransmit_limit(members: int) -> int:
    """Return how often an item is sent among so many members."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1) or 1)


class RetransmitQueue(Generic[Item]):
    """Queue of items by key; a new item replaces the old one of its key."""

    __slots__ = ('_items', '_levels')

    def __init__(self) -> None:
        """Start empty."""
        self._levels: list[dict[str, None]] = [{}]
        self._items: dict[str, tuple[Item, int, int]] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def put(self, key: str, item: Item, size: int) -> None:
        """Add an item of so many bytes."""
        self.discard(key)
        self._items[key] = (item, size, 0)
        self._levels[0][key] = None

    def discard(self, key: str) -> None:
        """Drop the item of a key, if there is one."""
        found = self._items.pop(key, None)
        if found is not None:
            self._levels[found[2]].pop(key)

    def take(self, room: int, limit: int) -> list[Item]:
        """Return items that fit into some bytes, and count them as sent.

        Parameters
        ----------
        room : int
            Bytes that the items may take together.
        limit : int
            Number of times after which an item is dropped.
        """
        taken: list[Item] = []
        for key in self._candidates():
            item, size, sent = self._items[key]
            if size > room:
                continue
            room -= size
            taken.append(item)
            self._count(key, sent + 1, limit)
        return taken

    def _candidates(self) -> list[str]:
        newest_first = itertools.chain.from_iterable(
            reversed(level) for level in self._levels
        )
        return list(itertools.islice(newest_first, _LOOK_AT))

    def _count(self, key: str, sent: int, limit: int) -> None:
        item, size, level = self._items[key]
        self._levels[level].pop(key)
        if sent >= limit:
            self._items.pop(key)
            return
        if sent == len(self._levels):
            self._levels.append({})
        self._levels[sent][key] = None
        self._items[key] = (item, size, sent)
