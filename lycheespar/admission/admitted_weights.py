"""Distribution of the weights of recently admitted calls."""

from __future__ import annotations

from typing import Final

# Weight of a new call in the exponential moving average of the shares.
SMOOTHING_FACTOR: Final = 0.02
# Cap on the share of heavier calls in the estimate of a wait.
MAX_HEAVIER_SHARE: Final = 0.95
# Share of lighter calls from which on a heavier call can rely on being admitted
# before them.
MIN_LIGHTER_SHARE: Final = 0.05


class AdmittedWeights:
    """Estimates how far heavier calls delay a queued one."""

    __slots__ = ('_shares',)

    def __init__(self) -> None:
        """Create a distribution without calls."""
        self._shares: dict[float, float] = {}

    @property
    def known(self) -> tuple[float, ...]:
        """Weights of recently admitted calls, the lightest first."""
        return tuple(sorted(self._shares))

    def add(self, weight: float) -> None:
        """Add the weight of an admitted call."""
        self._shares = {
            known: share * (1 - SMOOTHING_FACTOR)
            for known, share in self._shares.items()
            if share > SMOOTHING_FACTOR**2
        }
        known_share = self._shares.get(weight, 0)
        self._shares[weight] = known_share + SMOOTHING_FACTOR

    def has_lighter(self, weight: float) -> bool:
        """Whether enough lighter calls are admitted that a call can precede."""
        lighter = sum(
            share for known, share in self._shares.items() if known < weight
        )
        return lighter >= MIN_LIGHTER_SHARE

    def wait_factor(self, weight: float) -> float:
        """Return the factor by which heavier calls lengthen a wait."""
        heavier = sum(
            share for known, share in self._shares.items() if known > weight
        )
        return 1 / (1 - min(MAX_HEAVIER_SHARE, heavier))
