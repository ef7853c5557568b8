"""Finds targets with room for a call before the call is sent.

The load that this answers: demand above the room of all targets of a service.
Each call that is sent to a full target costs its caller time, and its next
attempt costs the retry budget what other calls need after a lost answer. The
nodes beside the targets report how long a call would wait there; a call that
would wait longer than is of use everywhere is refused by its caller's node.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

from lycheespar.admission.useful_wait import max_useful_wait_s
from lycheespar.call import Call, Load
from lycheespar.errors import OverloadedError
from lycheespar.routing.table import TargetState

MS_PER_S: Final = 1000
# Number of samples of targets in which room is looked for. While a tenth of the
# targets has room, three samples of five find some four times in five.
MAX_SAMPLES: Final = 3
# Age in seconds above which a load report says nothing about a wait. Targets
# start a call each few hundredths of a second.
MAX_REPORT_AGE_S: Final = 0.05
# Bounds of the time after which a caller may come back: in seconds, and as a
# share of its remaining time, so that it still has time for another attempt.
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_SHARE: Final = 1 / 3
# Callers that are refused together are told times that differ by up to this
# factor, so that they do not come back together.
RETRY_SPREAD: Final = 1.5


def targets_with_room(
    call: Call, states: Iterable[TargetState], now: float
) -> list[TargetState]:
    """Return the targets where the call's wait may be of use.

    A target of which nothing is known counts as one with room; one whose node
    did not answer does not, as it may have failed.
    """
    return [
        state
        for state in states
        if not state.is_unresponsive(now)
        and (not _is_fresh(state, now) or has_room(call, state.load, now))
    ]


def full_targets(
    call: Call, states: Iterable[TargetState], now: float
) -> list[TargetState]:
    """Return the targets whose nodes report that they have no room."""
    return [
        state
        for state in states
        if _is_fresh(state, now) and not has_room(call, state.load, now)
    ]


def has_room(call: Call, load: Load, now: float) -> bool:
    """Return whether a call can start before its wait is of no use.

    A call that goes before lighter ones may wait for most of its time, as the
    target's node lets it do.
    """
    if not load.waits:
        return True
    latency_s = load.latency_ms / MS_PER_S
    precedes_others = any(0 < weight < call.weight for weight, _ in load.waits)
    max_wait_s = (
        call.deadline - now - latency_s
        if precedes_others
        else max_useful_wait_s(
            call, now, latency_s, load.deviation_ms / MS_PER_S
        )
    )
    return wait_s(call, load) <= max_wait_s


def wait_s(call: Call, load: Load) -> float:
    """Return the wait in seconds that a target's node reports for a call."""
    waits_ms = [wait for weight, wait in load.waits if weight <= call.weight]
    return waits_ms[-1] / MS_PER_S if waits_ms else 0


def lack_of_room(
    call: Call, full: Sequence[TargetState], now: float
) -> OverloadedError:
    """Return the refusal of a call after a look at full targets.

    The caller is told to come back when the shortest queue will have ended.
    """
    shortest_s = min(wait_s(call, state.load) for state in full)
    max_s = (call.deadline - now) * MAX_RETRY_AFTER_SHARE
    retry_after_s = max(min(shortest_s, max_s), MIN_RETRY_AFTER_S)
    return OverloadedError(
        retry_after_s=retry_after_s / random.uniform(1, RETRY_SPREAD)
    )


def _is_fresh(state: TargetState, now: float) -> bool:
    return now - state.load_at <= MAX_REPORT_AGE_S
