"""Byte budget of the datagrams that gossip sends."""

from __future__ import annotations

import math
from typing import Final

# Size of the IP and UDP headers of a datagram.
HEADER_BYTES: Final = 28


class ByteBudget:
    """Token bucket that limits the bytes sent.

    Parameters
    ----------
    now : float
        Current time, in seconds.
    bytes_per_s : float
        Refill of the bucket.
    burst_bytes : float
        Bytes that may be sent at once.
    max_debt_bytes : float
        Bytes by which the bucket may be overdrawn; what is sent beyond is not
        charged.
    """

    __slots__ = (
        '_available',
        '_burst_bytes',
        '_bytes_per_s',
        '_max_debt_bytes',
        '_refilled_at',
        'sent_bytes',
    )

    def __init__(
        self,
        now: float,
        bytes_per_s: float,
        burst_bytes: float,
        max_debt_bytes: float = math.inf,
    ) -> None:
        """Create a full bucket."""
        self._refilled_at = now
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._max_debt_bytes = max_debt_bytes
        self._available: float = burst_bytes
        self.sent_bytes = 0

    def available(self, now: float) -> int:
        """Refill the bucket and return its level; negative if overdrawn."""
        refilled = (
            self._available + (now - self._refilled_at) * self._bytes_per_s
        )
        self._available = min(refilled, self._burst_bytes)
        self._refilled_at = now
        return int(self._available)

    def spend(self, payload: bytes) -> None:
        """Charge a datagram, headers included, to the budget."""
        size = len(payload) + HEADER_BYTES
        self._available = max(self._available - size, -self._max_debt_bytes)
        self.sent_bytes += size
