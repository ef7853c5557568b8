"""Budget of the bytes that gossip sends."""

from __future__ import annotations

from typing import Final

# IP and UDP headers of each datagram.
HEADER_BYTES: Final = 28
SENT_BYTES_PER_S: Final = 6000
BURST_BYTES: Final = 32_000


class ByteBudget:
    """Token bucket of bytes.

    Parameters
    ----------
    now : float
        Present instant, in seconds.
    """

    __slots__ = ('_at', '_left', 'sent')

    def __init__(self, now: float) -> None:
        """Start with a full bucket."""
        self._at = now
        self._left: float = BURST_BYTES
        self.sent = 0

    def left(self, now: float) -> int:
        """Return the bytes that may be sent now; negative if overdrawn."""
        grown = self._left + (now - self._at) * SENT_BYTES_PER_S
        self._left = min(grown, BURST_BYTES)
        self._at = now
        return int(self._left)

    def spend(self, payload: bytes) -> None:
        """Count a datagram."""
        size = len(payload) + HEADER_BYTES
        self._left -= size
        self.sent += size
