"""Set of ids that are remembered for a while, without a timer for each."""

from __future__ import annotations

import time


class Generations:
    """Ids in two generations, of which the older is dropped in turn.

    Parameters
    ----------
    least_s : float
        Least time in seconds for which an id is remembered; it is forgotten
        after at most twice this time and the next addition.
    """

    __slots__ = ('_least_s', '_new', '_old', '_turned_at')

    def __init__(self, least_s: float) -> None:
        """Start empty."""
        self._least_s = least_s
        self._new: set[bytes] = set()
        self._old: set[bytes] = set()
        self._turned_at = time.monotonic()

    def __contains__(self, identity: bytes) -> bool:
        """Whether an id is remembered."""
        return identity in self._new or identity in self._old

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._new) + len(self._old)

    def add(self, identity: bytes) -> None:
        """Remember an id."""
        now = time.monotonic()
        if now - self._turned_at >= self._least_s:
            self._old = self._new
            self._new = set()
            self._turned_at = now
        self._new.add(identity)
