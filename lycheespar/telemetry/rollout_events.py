"""Structured events about roll-outs."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event


class RolloutChanged(Event, frozen=True, tag='rollout_changed'):
    """The leader took a step of a roll-out or ended it.

    Attributes
    ----------
    service, version : str
        Service and version that is rolled out.
    change : str
        Kind of the change.
    share : float
        Share of the first attempts that go to the version from now on.
    reason : str
        Why the roll-out ended; empty while it runs.
    elapsed_s : float
        Time in seconds since the order.
    answers : int
        Calls of the version that were judged so far.
    capacity : float
        Slots of its warm targets, as a share of those of the old version.
    revision : int
        Revision that the change created.
    """

    part: ClassVar[str] = 'rollouts'

    service: str
    version: str
    change: str
    share: float
    reason: str
    elapsed_s: float
    answers: int
    capacity: float
    revision: int
