"""Freshness stamps: proof that a configuration was current not long ago."""

from __future__ import annotations

import math
import time
from typing import Final, Protocol

import msgspec

MS_PER_S: Final = 1000


class Stamp(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Issued by the leader after each round with a quorum.

    Attributes
    ----------
    term : int
        Term of the leader.
    revision : int
        Revision that was current at the round.
    round : int
        Number of the round within the term.
    age_ms : float
        Greatest age that the stamp can have; each relay adds the time that it
        held it, and each receiver the round trip in which it came.
    """

    term: int = 0
    revision: int = 0
    round: int = 0
    age_ms: float = 0

    @property
    def is_valid(self) -> bool:
        """Whether a leader issued the stamp, and the age can be an age."""
        has_age = math.isfinite(self.age_ms) and self.age_ms >= 0
        return has_age and self.round > 0

    @property
    def order(self) -> tuple[int, int]:
        """Order in which stamps were issued."""
        return (self.term, self.round)

    def aged(self, seconds: float) -> Stamp:
        """Return the stamp after a further time."""
        return Stamp(
            self.term,
            self.revision,
            self.round,
            self.age_ms + seconds * MS_PER_S,
        )


class StampTable(Protocol):
    """Source and sink of stamps."""

    @property
    def stamp(self) -> Stamp:
        """Newest stamp known, aged to now."""

    def now(self) -> float:
        """Return the present instant of the clock by which ages are told."""

    def confirm(self, stamp: Stamp) -> bool:
        """Take a stamp if it is newer; say whether it was."""


def steady_time() -> float:
    """Return seconds of a clock that never goes back.

    The clock also runs while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
