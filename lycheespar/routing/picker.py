"""Choice of a target."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from lycheespar.membership.records import Liveness, Phase
from lycheespar.routing.outliers import split_outliers
from lycheespar.routing.table import TargetState

# Targets of this data centre, and of others, that are compared.
LOCAL_SAMPLE: Final = 3
REMOTE_SAMPLE: Final = 2
# Costs in units of a target's whole limit.
REMOTE_COST: Final = 0.05
# What a kilobyte between data centres costs: an answer of 90 kB goes there
# only where the nearer targets are full and slow.
CROSSING_COST_A_KB: Final = 0.02
# What each multiple of its usual time costs that work takes at a target.
PACE_COST: Final = 0.2
# What it costs that a node did not tell its load in time.
MISSED_COST: Final = 1
COLD_COST: Final = 0.3
FAILURE_COST: Final = 4


class Picker:
    """Chooses the cheapest of a few random targets.

    Some are of this node's data centre and some of others, which cost more,
    so that calls spill gradually before the nearer ones are full.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    source : random.Random
        Source of random numbers.
    """

    __slots__ = ('_data_centre', '_random')

    def __init__(self, data_centre: str, source: random.Random) -> None:
        """Keep the parts."""
        self._data_centre = data_centre
        self._random = source

    def choose(
        self,
        candidates: Sequence[TargetState],
        now: float,
    ) -> TargetState:
        """Choose one of at least one candidate by what is known of them.

        Parameters
        ----------
        candidates : Sequence[TargetState]
            Targets that may take the call.
        now : float
            Instant of the event loop's clock, in seconds.
        """
        return self.cheapest(self.sample(candidates, now), now)

    def sample(
        self,
        candidates: Sequence[TargetState],
        now: float,
    ) -> list[TargetState]:
        """Return a few candidates to compare, of at least one."""
        healthy, outliers = split_outliers(candidates, now)
        return self._sample(healthy or outliers)

    def cheapest(
        self,
        sample: Sequence[TargetState],
        now: float,
        size_kb: float = 0,
    ) -> TargetState:
        """Return the target at which a call of some size costs least."""
        return min(sample, key=lambda state: self.cost(state, now, size_kb))

    def cost(
        self,
        state: TargetState,
        now: float,
        size_kb: float = 0,
    ) -> float:
        """Cost of a call at a target, in units of the target's limit.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Instant of the event loop's clock, in seconds.
        size_kb : float
            Kilobytes of the request and its answer.
        """
        record = state.record
        cost = state.usage(now) * state.slowness(now)
        cost += PACE_COST * state.slowdown(now)
        cost += FAILURE_COST * state.failure_share(now)
        cost += MISSED_COST * state.is_silent(now)
        if record.data_centre != self._data_centre:
            cost += REMOTE_COST + CROSSING_COST_A_KB * size_kb
        if record.phase is Phase.cold:
            cost += COLD_COST
        return cost

    def _sample(self, pool: Sequence[TargetState]) -> list[TargetState]:
        alive = [
            state for state in pool if state.record.liveness is Liveness.alive
        ]
        local: list[TargetState] = []
        remote: list[TargetState] = []
        for state in alive or pool:
            near = state.record.data_centre == self._data_centre
            (local if near else remote).append(state)
        remote_size = REMOTE_SAMPLE if local else LOCAL_SAMPLE
        return [
            *self._random.sample(local, min(LOCAL_SAMPLE, len(local))),
            *self._random.sample(remote, min(remote_size, len(remote))),
        ]
