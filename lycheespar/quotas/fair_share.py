"""Prefers teams that are served far less often than all others.

The load that this answers: demand of urgent teams that fills the room for
longer than a moment, so that a team of a lower priority would not be served
at all. A team's calls are spread over all nodes, so that a single node sees too
few of them to judge; the owner of its quota sees all of them.
"""

from __future__ import annotations

from typing import Final

# Half-life in seconds of the weight of a call. A team with one call in two
# seconds still has a few calls that count.
HALF_LIFE_S: Final = 5.0
# Calls that count as run beforehand, so that a single refusal says little.
PRIOR_CALLS: Final = 1.0
# A team is preferred while it is served less than this part as often as all
# teams. Operators tolerate a quarter; the rest allows for delays.
MIN_PART_OF_ALL: Final = 0.5
# Weight of a call of the highest priority.
PREFERRED_WEIGHT: Final = 1.0


class RunShare:
    """Share of recent calls that were run, and not refused for want of room.

    Older calls count less. All instants are in seconds on one clock.
    """

    __slots__ = ('_calls', '_decayed_at', '_refused')

    def __init__(self) -> None:
        """Create a share without calls."""
        self._calls = 0.0
        self._refused = 0.0
        self._decayed_at = float('-inf')

    def add_call(self, now: float) -> None:
        """Count a call that may be sent."""
        self._decay(now)
        self._calls += 1

    def add_refusal(self, now: float) -> None:
        """Count the refusal of a call that was counted before."""
        self._decay(now)
        self._refused += 1

    def share(self, now: float) -> float:
        """Return the share, 0 to 1; 1 without calls."""
        self._decay(now)
        run = max(self._calls - self._refused, 0) + PRIOR_CALLS
        return run / (self._calls + PRIOR_CALLS)

    def _decay(self, now: float) -> None:
        factor = 2 ** ((self._decayed_at - now) / HALF_LIFE_S)
        self._calls *= factor
        self._refused *= factor
        self._decayed_at = now


def is_disadvantaged(team_share: float, all_share: float) -> bool:
    """Return whether a team is served far less often than all teams.

    Parameters
    ----------
    team_share : float
        Share of the team's calls that are run, 0 to 1.
    all_share : float
        The same for the calls of all teams.
    """
    return team_share < MIN_PART_OF_ALL * all_share
