"""Orders to roll out a version, and the changes of their state."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterator, Mapping
from typing import Final

import msgspec
from msgspec.structs import replace

# Longest duration of a roll-out, in seconds: a day.
MAX_DURATION_S: Final = 86_400


class RolloutState(enum.StrEnum):
    """How far a roll-out is."""

    running = 'running'
    succeeded = 'succeeded'
    rolled_back = 'rolled_back'


class Rollout(msgspec.Struct, frozen=True):
    """The latest roll-out of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    version : str
        Version to which the service moves.
    duration_s : float
        Time from the order to its deadline, in seconds.
    state : RolloutState
        How far the roll-out is.
    share : float
        Share of the first attempts that go to the new version, 0 to 1.
    elapsed_s : float
        Time from the order to the latest step, in seconds.
    reason : str
        Why the roll-out ended; empty while it runs.
    """

    service: str
    version: str
    duration_s: float
    state: RolloutState = RolloutState.running
    share: float = 0.0
    elapsed_s: float = 0.0
    reason: str = ''

    @property
    def is_running(self) -> bool:
        """Whether the roll-out has not ended."""
        return self.state is RolloutState.running


Rollouts = Mapping[str, Rollout]


class StartRollout(msgspec.Struct, frozen=True, tag='start_rollout'):
    """Starts a roll-out; an equal order that is already known changes nothing.

    The attributes are described at `Rollout`.
    """

    service: str
    version: str
    duration_s: float


class StepRollout(msgspec.Struct, frozen=True, tag='step_rollout'):
    """Changes the share of a running roll-out.

    The attributes are described at `Rollout`.
    """

    service: str
    version: str
    share: float
    elapsed_s: float


class EndRollout(msgspec.Struct, frozen=True, tag='end_rollout'):
    """Ends a running roll-out.

    Attributes
    ----------
    succeeded : bool
        Whether the service now runs on the new version only; else the new
        version gets no more calls.

    The other attributes are described at `Rollout`.
    """

    service: str
    version: str
    succeeded: bool
    elapsed_s: float
    reason: str


RolloutChange = StartRollout | StepRollout | EndRollout


def apply_rollout_change(
    rollouts: Rollouts,
    change: RolloutChange,
) -> dict[str, Rollout]:
    """Apply a valid change and return the resulting roll-outs."""
    known = rollouts.get(change.service)
    match change:
        case StartRollout(service, version, duration_s):
            if known is not None and _is_same_order(known, change):
                return dict(rollouts)
            changed = Rollout(service, version, duration_s)
        case StepRollout(share=share, elapsed_s=elapsed_s):
            changed = replace(
                rollouts[change.service], share=share, elapsed_s=elapsed_s
            )
        case EndRollout():
            changed = replace(
                rollouts[change.service],
                state=(
                    RolloutState.succeeded
                    if change.succeeded
                    else RolloutState.rolled_back
                ),
                share=float(change.succeeded),
                elapsed_s=change.elapsed_s,
                reason=change.reason,
            )
    return {**rollouts, change.service: changed}


def rollout_problems(
    rollouts: Rollouts,
    services: Collection[str],
    change: RolloutChange,
) -> Iterator[str]:
    """Validate a change of the roll-outs and yield its problems.

    As in `changes.find_change_problems`, the texts must not differ between
    versions of this project.
    """
    known = rollouts.get(change.service)
    match change:
        case StartRollout():
            yield from _order_problems(known, services, change)
        case StepRollout() | EndRollout():
            if known is None or not _runs_version(known, change.version):
                yield f"service: no roll-out of '{change.version}' is running"


def _order_problems(
    known: Rollout | None,
    services: Collection[str],
    order: StartRollout,
) -> Iterator[str]:
    if order.service not in services:
        yield f"service: there is no service '{order.service}'"
    if not order.version:
        yield 'version: must not be empty'
    if not 0 < order.duration_s <= MAX_DURATION_S:
        yield f'duration_s: must be above 0 and at most {MAX_DURATION_S}'
    if (
        known is not None
        and known.is_running
        and not _is_same_order(known, order)
    ):
        yield f"service: the roll-out of '{known.version}' is still running"


def _is_same_order(known: Rollout, order: StartRollout) -> bool:
    return (known.version, known.duration_s) == (
        order.version,
        order.duration_s,
    )


def _runs_version(known: Rollout, version: str) -> bool:
    return known.is_running and known.version == version
