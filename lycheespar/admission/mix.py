"""Weights of the calls that were admitted lately."""

from __future__ import annotations

from typing import Final

SAMPLE_WEIGHT: Final = 0.02
# Largest share of heavier calls that the estimate of a wait allows for.
LARGEST_SHARE: Final = 0.95
# Share of lighter calls from which on a heavier one may count on its turn.
LEAST_LIGHTER_SHARE: Final = 0.05


class AdmissionMix:
    """Says how often a waiting call is overtaken by heavier ones."""

    __slots__ = ('_shares',)

    def __init__(self) -> None:
        """Start without calls."""
        self._shares: dict[float, float] = {}

    def add(self, weight: float) -> None:
        """Count an admitted call."""
        self._shares = {
            known: share * (1 - SAMPLE_WEIGHT)
            for known, share in self._shares.items()
            if share > SAMPLE_WEIGHT**2
        }
        known_share = self._shares.get(weight, 0)
        self._shares[weight] = known_share + SAMPLE_WEIGHT

    def has_lighter(self, weight: float) -> bool:
        """Whether lighter calls are admitted, which give way to others."""
        lighter = sum(
            share for known, share in self._shares.items() if known < weight
        )
        return lighter >= LEAST_LIGHTER_SHARE

    def delay(self, weight: float) -> float:
        """Return by which factor heavier calls lengthen a wait, at least 1."""
        heavier = sum(
            share for known, share in self._shares.items() if known > weight
        )
        return 1 / (1 - min(LARGEST_SHARE, heavier))
