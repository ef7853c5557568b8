"""Decides the steps of a roll-out: the share of the new version, and the end.

The load that this answers: a service that has to move in a given time to a
version that may be bad, at once or later, while no more than a bounded number
of requests may meet it. Half of the bound is spent until half of the time has
passed; then all calls move within a few seconds, each step held long enough for
evidence of it to arrive.
"""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.rollouts.order import (
    EndRollout,
    Rollout,
    RolloutChange,
    StepRollout,
)
from lycheespar.rollouts.verdict import Judgement

# Part of the exposure bound that the first share uses. The rest is for the
# seconds in which all calls move.
FIRST_SHARE: Final = 0.5
# Shares after the first one.
LATER_SHARES: Final = (0.25, 0.5, 1.0)
# Part of the duration for which the first share is held.
WATCH_PART: Final = 0.5
# Part of the duration after which calls move with little evidence or room, as
# the deadline is near.
LAST_START_PART: Final = 0.65
# Time in seconds for which each later share is held: evidence of it needs a
# report, a collection and a change of the configuration.
HOLD_S: Final = 1.0
# Answers of the new version from which it may be good.
MIN_ANSWERS: Final = 50
# Slots of warm new targets that are needed to move all calls, as a share of the
# old ones; the second one counts when the deadline is near.
MIN_CAPACITY: Final = 0.8
MIN_LATE_CAPACITY: Final = 0.5
# Time in seconds after which a node that has not confirmed the last step counts
# as out of touch.
CONFIRMATION_S: Final = 3.0
# Time in seconds for calls at old targets to end after the last step is
# confirmed.
DRAIN_S: Final = 1.5


class Progress(msgspec.Struct, frozen=True):
    """What is known about a running roll-out.

    Attributes
    ----------
    elapsed_s : float
        Time in seconds since the order.
    held_s : float
        Time in seconds since the present share was set.
    confirmed_s : float
        Time in seconds since all nodes have confirmed the present share; 0 if
        some have not.
    capacity : float
        Slots of warm new targets, as a share of the slots of old ones.
    judgement : Judgement
        Verdict on the new version.
    """

    elapsed_s: float
    held_s: float
    confirmed_s: float
    capacity: float
    judgement: Judgement


def next_change(
    rollout: Rollout,
    progress: Progress,
    max_exposure: float,
) -> RolloutChange | None:
    """Return the next change of a running roll-out; None to wait.

    Parameters
    ----------
    rollout : Rollout
        The roll-out.
    progress : Progress
        What is known about it.
    max_exposure : float
        Largest share of the requests between order and deadline that a bad
        version may get, 0 to 1.
    """
    if progress.judgement.bad:
        return _end(rollout, progress, progress.judgement.reason)
    first = max_exposure * FIRST_SHARE
    if rollout.share < first:
        return _step(rollout, progress, first)
    if rollout.share >= 1:
        return _end_when_moved(rollout, progress)
    is_moving = rollout.share > first
    is_held = is_moving and progress.held_s >= HOLD_S
    if is_held or (not is_moving and _may_move(rollout, progress)):
        following = min(
            share for share in LATER_SHARES if share > rollout.share
        )
        return _step(rollout, progress, following)
    if not is_moving and progress.elapsed_s >= rollout.duration_s:
        return _end(
            rollout,
            progress,
            'too few targets of the new version, or too few answers, by the '
            f'deadline: {progress.capacity:.0%} of the slots, '
            f'{progress.judgement.answers} answers',
        )
    return None


def _may_move(rollout: Rollout, progress: Progress) -> bool:
    """Whether all calls may start to move to the new version."""
    judged = progress.judgement.answers
    if progress.elapsed_s >= rollout.duration_s * LAST_START_PART:
        return judged > 0 and progress.capacity >= MIN_LATE_CAPACITY
    return (
        progress.elapsed_s >= rollout.duration_s * WATCH_PART
        and judged >= MIN_ANSWERS
        and progress.capacity >= MIN_CAPACITY
    )


def _end_when_moved(rollout: Rollout, progress: Progress) -> EndRollout | None:
    """End a roll-out once no call is sent to an old target any more."""
    moved_s = max(progress.confirmed_s, progress.held_s - CONFIRMATION_S)
    if moved_s < DRAIN_S:
        return None
    return EndRollout(
        rollout.service,
        rollout.version,
        succeeded=True,
        elapsed_s=progress.elapsed_s,
        reason=f'good after {progress.judgement.answers} answers',
    )


def _step(rollout: Rollout, progress: Progress, share: float) -> StepRollout:
    return StepRollout(
        rollout.service, rollout.version, share, progress.elapsed_s
    )


def _end(rollout: Rollout, progress: Progress, reason: str) -> EndRollout:
    return EndRollout(
        rollout.service,
        rollout.version,
        succeeded=False,
        elapsed_s=progress.elapsed_s,
        reason=reason,
    )
