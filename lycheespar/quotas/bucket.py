"""Token buckets of teams."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are refilled at a rate, up to a capacity.

    All instants are in seconds on one clock.

    Parameters
    ----------
    now : float
        The present instant.
    per_s : float
        Tokens that are added per second.
    capacity : float
        Most tokens that are saved up; at least 1.
    tokens : float
        Tokens at first.
    """

    __slots__ = (
        '_capacity',
        '_per_s',
        '_promised_at',
        '_refilled_at',
        '_tokens',
    )

    def __init__(
        self, now: float, per_s: float, capacity: float, tokens: float
    ) -> None:
        """Create a bucket."""
        self._per_s = per_s
        self._capacity = max(capacity, 1)
        self._tokens = min(tokens, self._capacity)
        self._refilled_at = now
        self._promised_at = float('-inf')

    def configure(self, now: float, per_s: float, capacity: float) -> None:
        """Change rate and capacity; surplus tokens are dropped."""
        self._refill(now)
        self._per_s = per_s
        self._capacity = max(capacity, 1)
        self._tokens = min(self._tokens, self._capacity)

    def try_take(self, now: float) -> float:
        """Take one token.

        Calls that are refused one after the other are told different times,
        so that their callers do not come back together.

        Returns
        -------
        float
            0 if there was one; else the time in seconds until there will be
            one for this call.
        """
        self._refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        if not self._per_s:
            return float('inf')
        period_s = 1 / self._per_s
        self._promised_at = max(
            self._promised_at + period_s,
            now + (1 - self._tokens) * period_s,
        )
        return self._promised_at - now

    def put_back(self) -> None:
        """Return a token that was not used."""
        self._tokens = min(self._tokens + 1, self._capacity)

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._tokens + max(added, 0), self._capacity)
        self._refilled_at = now
