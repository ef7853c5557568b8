"""Byte budget of the datagrams that gossip sends."""

from __future__ import annotations

from typing import Final

# Size of the IP and UDP headers of a datagram.
HEADER_BYTES: Final = 28
SENT_BYTES_PER_S: Final = 6000
BURST_BYTES: Final = 32_000


class ByteBudget:
    """Token bucket that limits the bytes sent.

    Parameters
    ----------
    now : float
        Current time, in seconds.
    """

    __slots__ = ('_available', '_refilled_at', 'sent_bytes')

    def __init__(self, now: float) -> None:
        """Create a full bucket."""
        self._refilled_at = now
        self._available: float = BURST_BYTES
        self.sent_bytes = 0

    def available(self, now: float) -> int:
        """Refill the bucket and return its level; negative if overdrawn."""
        refilled = (
            self._available + (now - self._refilled_at) * SENT_BYTES_PER_S
        )
        self._available = min(refilled, BURST_BYTES)
        self._refilled_at = now
        return int(self._available)

    def spend(self, payload: bytes) -> None:
        """Charge a datagram, headers included, to the budget."""
        size = len(payload) + HEADER_BYTES
        self._available -= size
        self.sent_bytes += size
