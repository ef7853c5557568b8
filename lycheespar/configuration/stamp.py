"""Freshness stamps, which prove how recently a revision was current."""

from __future__ import annotations

import math
import time
from typing import Final, Protocol

import msgspec

MS_PER_S: Final = 1000


class Stamp(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Proof of the current revision; the leader issues it after each round.

    A round succeeds only with a quorum of the control hosts.

    Attributes
    ----------
    term : int
        Term of the leader.
    revision : int
        Revision that was current at the time of the round.
    round : int
        Number of the round within the term.
    age_ms : float
        Upper bound of the stamp's age, in milliseconds. Each relay adds the
        time for which it stored the stamp, and each receiver the round-trip
        time of the message that carried it.
    """

    term: int = 0
    revision: int = 0
    round: int = 0
    age_ms: float = 0

    @property
    def is_valid(self) -> bool:
        """Whether a leader issued the stamp and its age is plausible."""
        has_age = math.isfinite(self.age_ms) and self.age_ms >= 0
        return has_age and self.round > 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: the order in which stamps were issued."""
        return (self.term, self.round)

    def with_added_age(self, seconds: float) -> Stamp:
        """Return the stamp with its age increased by a number of seconds."""
        return Stamp(
            self.term,
            self.revision,
            self.round,
            self.age_ms + seconds * MS_PER_S,
        )


class StampSource(Protocol):
    """Provides the newest stamp and accepts newer ones."""

    @property
    def stamp(self) -> Stamp:
        """Newest known stamp with its present age."""

    def now(self) -> float:
        """Return the time in seconds of the clock that measures ages."""

    def accept_stamp(self, stamp: Stamp) -> bool:
        """Accept a stamp if it is newer; return whether it was accepted."""


def boot_time_s() -> float:
    """Return the seconds of a monotonic clock.

    Unlike `time.monotonic`, it also advances while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
