"""Selects a target by its estimated cost."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from lycheespar.membership.records import Liveness, Phase
from lycheespar.routing.outliers import split_outliers
from lycheespar.routing.table import TargetState

# Sample sizes: targets of this data centre and of others that are compared.
LOCAL_SAMPLE: Final = 3
REMOTE_SAMPLE: Final = 2
# Cost of a target in another data centre. This and the costs below are in units
# of a target's whole limit.
REMOTE_COST: Final = 0.05
# Cost of each kilobyte sent between data centres. With this value, a call with
# an answer of 90 kB leaves the data centre only if the local targets are full
# and slow.
REMOTE_COST_PER_KB: Final = 0.02
# Cost of each unit by which the pace exceeds its usual value of 1.
PACE_COST: Final = 0.2
# Cost of a target whose node did not answer the latest load query in time.
UNRESPONSIVE_COST: Final = 1
# Cost of a target in its cold start.
COLD_COST: Final = 0.3
# Cost of a target at which all recent calls failed; it is scaled by the share
# of failures.
FAILURE_COST: Final = 4


class Picker:
    """Chooses the target of least cost from a small random sample.

    The sample has targets of this node's data centre and of others. Remote
    targets cost more, so that calls spill over gradually, before the local
    targets are full.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    source : random.Random
        Source of random numbers.
    """

    __slots__ = ('_data_centre', '_random')

    def __init__(self, data_centre: str, source: random.Random) -> None:
        """Create a picker for the nodes of one data centre."""
        self._data_centre = data_centre
        self._random = source

    def choose(
        self,
        candidates: Sequence[TargetState],
        now: float,
    ) -> TargetState:
        """Choose a target by the loads known so far, without queries.

        Parameters
        ----------
        candidates : Sequence[TargetState]
            Targets that may receive the call; at least one.
        now : float
            Instant of the event loop's clock, in seconds.
        """
        return self.cheapest(self.sample(candidates, now), now)

    def sample(
        self,
        candidates: Sequence[TargetState],
        now: float,
    ) -> list[TargetState]:
        """Return a random sample of the candidates, at least one of them.

        Ejected targets are sampled only if there are no others.
        """
        healthy, outliers = split_outliers(candidates, now)
        return self._sample_by_distance(healthy or outliers)

    def cheapest(
        self,
        sample: Sequence[TargetState],
        now: float,
        size_kb: float = 0,
    ) -> TargetState:
        """Return the target with the least cost for a call of a given size."""
        return min(sample, key=lambda state: self.cost(state, now, size_kb))

    def cost(
        self,
        state: TargetState,
        now: float,
        size_kb: float = 0,
    ) -> float:
        """Estimate the cost of a call, in units of the target's limit.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Instant of the event loop's clock, in seconds.
        size_kb : float
            Expected size of the request and its answer in kilobytes.
        """
        record = state.record
        cost = state.usage(now) * state.latency_ratio(now)
        cost += PACE_COST * state.excess_pace(now)
        cost += FAILURE_COST * state.failure_share(now)
        cost += UNRESPONSIVE_COST * state.is_unresponsive(now)
        if record.data_centre != self._data_centre:
            cost += REMOTE_COST + REMOTE_COST_PER_KB * size_kb
        if record.phase is Phase.cold:
            cost += COLD_COST
        return cost

    def _sample_by_distance(
        self,
        pool: Sequence[TargetState],
    ) -> list[TargetState]:
        """Sample local and remote targets; suspect ones only as last resort."""
        alive = [
            state for state in pool if state.record.liveness is Liveness.alive
        ]
        local: list[TargetState] = []
        remote: list[TargetState] = []
        for state in alive or pool:
            is_local = state.record.data_centre == self._data_centre
            (local if is_local else remote).append(state)
        remote_size = REMOTE_SAMPLE if local else LOCAL_SAMPLE
        return [
            *self._random.sample(local, min(LOCAL_SAMPLE, len(local))),
            *self._random.sample(remote, min(remote_size, len(remote))),
        ]
