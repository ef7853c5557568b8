"""Ejection of failing targets, up to a share of all targets."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from lycheespar.routing.table import TargetState

# A target is ejected if its share of failures is larger than this.
EJECT_FAILURE_SHARE: Final = 0.5
# Largest share of a service's targets that may be ejected at the same time.
MAX_EJECTED_SHARE: Final = 0.34


def split_outliers(
    states: Sequence[TargetState],
    now: float,
) -> tuple[list[TargetState], list[TargetState]]:
    """Separate the targets to use from those that are ejected.

    If more targets fail than may be ejected, the fault is probably in the
    calls or common to all targets. Only the worst ones are ejected then.

    Returns
    -------
    tuple[list[TargetState], list[TargetState]]
        Targets to use, and ejected targets.
    """
    ejected = [
        state
        for state in states
        if state.backoff_until > now
        or state.failure_share(now) > EJECT_FAILURE_SHARE
    ]
    if not ejected:
        return list(states), ejected
    max_ejected = int(len(states) * MAX_EJECTED_SHARE)
    if len(ejected) > max_ejected:
        ejected.sort(key=lambda state: -_ejection_priority(state, now))
        ejected = ejected[:max_ejected]
    usable = [state for state in states if state not in ejected]
    return usable, ejected


def _ejection_priority(state: TargetState, now: float) -> float:
    return state.failure_share(now) + (state.backoff_until > now)
