"""Ejection of targets that fail, of a share of all at most."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from lycheespar.routing.table import TargetState

# Share of failures past which a target is ejected.
EJECT_FAILURE_SHARE: Final = 0.5
# Largest share of a service's targets that may be ejected together.
MAX_EJECTED_SHARE: Final = 0.34


def split_outliers(
    states: Sequence[TargetState],
    now: float,
) -> tuple[list[TargetState], list[TargetState]]:
    """Separate the targets that are to be asked last.

    Where more fail than may be ejected, the fault is more likely in the
    calls or common to all targets, so that the least bad ones stay.

    Returns
    -------
    tuple[list[TargetState], list[TargetState]]
        Targets to use, and ejected ones.
    """
    ejected = [
        state
        for state in states
        if state.rest_until > now
        or state.failure_share(now) > EJECT_FAILURE_SHARE
    ]
    if not ejected:
        return list(states), ejected
    most = int(len(states) * MAX_EJECTED_SHARE)
    if len(ejected) > most:
        ejected.sort(key=lambda state: -_badness(state, now))
        ejected = ejected[:most]
    kept = [state for state in states if state not in ejected]
    return kept, ejected


def _badness(state: TargetState, now: float) -> float:
    return state.failure_share(now) + (state.rest_until > now)
