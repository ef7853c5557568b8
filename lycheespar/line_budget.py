"""How fast the lines of chunked answers are parsed."""

from __future__ import annotations

from typing import Final

# Lines per second, about a quarter of a core, that are parsed for all
# connections to a target, and those that are parsed without a pause.
LINES_PER_S: Final = 250_000
BURST_LINES: Final = 5_000


class LineBudget:
    """Token bucket that limits the work for tiny chunks.

    Each chunk costs two lines, whatever its size, so that an answer in chunks
    of a byte keeps the event loop busy for hundreds of times as long as one of
    the same length in large chunks, and requests of others wait.

    Parameters
    ----------
    now : float
        Current time in seconds.
    """

    __slots__ = ('_available', '_refilled_at')

    def __init__(self, now: float) -> None:
        """Create a full bucket."""
        self._available = float(BURST_LINES)
        self._refilled_at = now

    def spend(self, lines: int, now: float) -> float:
        """Charge lines; return for how many seconds to parse no more."""
        refilled = self._available + (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._available = min(refilled, BURST_LINES) - lines
        return max(-self._available, 0) / LINES_PER_S
