"""Queue of items that are sent a bounded number of times.

Items that were sent least often go first.
"""

from __future__ import annotations

import itertools
import math
from typing import Final, Generic, TypeVar

RETRANSMIT_FACTOR: Final = 4
# Maximum number of items considered for one datagram.
_MAX_CANDIDATES: Final = 64

Item = TypeVar('Item')


def retransmit_limit(members: int) -> int:
    """Return how often an item is sent, given the number of members."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1) or 1)


class RetransmitQueue(Generic[Item]):
    """Queue of items by key; a new item replaces the old one of its key.

    The keys are grouped by the number of times that their items were sent.
    """

    __slots__ = ('_items', '_keys_by_count')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._keys_by_count: list[dict[str, None]] = [{}]
        self._items: dict[str, tuple[Item, int, int]] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def put(self, key: str, item: Item, size: int) -> None:
        """Add an item of `size` bytes that has not been sent yet."""
        self.discard(key)
        self._items[key] = (item, size, 0)
        self._keys_by_count[0][key] = None

    def discard(self, key: str) -> None:
        """Drop the item of a key, if there is one."""
        found = self._items.pop(key, None)
        if found is not None:
            self._keys_by_count[found[2]].pop(key)

    def take(self, room: int, limit: int) -> list[Item]:
        """Return items that fit into `room` bytes; count them as sent.

        Parameters
        ----------
        room : int
            Number of bytes that the items may take up together.
        limit : int
            Number of transmissions after which an item is dropped.
        """
        taken: list[Item] = []
        for key in self._candidates():
            item, size, sent = self._items[key]
            if size > room:
                continue
            room -= size
            taken.append(item)
            self._count_transmission(key, sent + 1, limit)
        return taken

    def _candidates(self) -> list[str]:
        newest_first = itertools.chain.from_iterable(
            reversed(level) for level in self._keys_by_count
        )
        return list(itertools.islice(newest_first, _MAX_CANDIDATES))

    def _count_transmission(self, key: str, sent: int, limit: int) -> None:
        item, size, level = self._items[key]
        self._keys_by_count[level].pop(key)
        if sent >= limit:
            self._items.pop(key)
            return
        if sent == len(self._keys_by_count):
            self._keys_by_count.append({})
        self._keys_by_count[sent][key] = None
        self._items[key] = (item, size, sent)
