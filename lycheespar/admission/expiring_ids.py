"""Set of ids that expire, without a timer for each id."""

from __future__ import annotations

import time


class ExpiringIds:
    """Expiring ids in two generations; the older one is dropped as a whole.

    Parameters
    ----------
    min_age_s : float
        Minimum time in seconds for which an id is remembered. It is dropped
        by the first addition after at most twice this time.
    """

    __slots__ = ('_current', '_min_age_s', '_previous', '_rotated_at')

    def __init__(self, min_age_s: float) -> None:
        """Create an empty set."""
        self._min_age_s = min_age_s
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._rotated_at = time.monotonic()

    def __contains__(self, identity: bytes) -> bool:
        """Whether an id is remembered."""
        return identity in self._current or identity in self._previous

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._current) + len(self._previous)

    def add(self, identity: bytes) -> None:
        """Add an id; drop the older generation if it has expired."""
        now = time.monotonic()
        if now - self._rotated_at >= self._min_age_s:
            self._previous = self._current
            self._current = set()
            self._rotated_at = now
        self._current.add(identity)
