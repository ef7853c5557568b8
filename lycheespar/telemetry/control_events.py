"""Structured events about control hosts and the tasks of a process."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event


class PullFailed(Event, frozen=True, tag='pull_failed'):
    """A control host did not answer a pull of the configuration as it should.

    Attributes
    ----------
    host : str
        Address of the control host.
    reason : str
        Code of the error, or ``abandoned`` if the pull took too long.
    revision : int
        Revision in force at this node.
    age_s : float
        Time in seconds since the revision was last confirmed as current.
    failures : int
        Pulls that have failed since the last one that succeeded.
    """

    part: ClassVar[str] = 'control'
    rate_limited: ClassVar[bool] = True

    host: str
    reason: str
    revision: int
    age_s: float
    failures: int


class PullRecovered(Event, frozen=True, tag='pull_recovered'):
    """A pull of the configuration succeeded after others had failed.

    Attributes
    ----------
    host : str
        Address of the control host.
    failures : int
        Pulls that had failed before.
    revision : int
        Revision in force at this node after the pull.
    """

    part: ClassVar[str] = 'control'
    rate_limited: ClassVar[bool] = True

    host: str
    failures: int
    revision: int


class TaskFailed(Event, frozen=True, tag='task_failed'):
    """A background task failed; it is started again soon.

    Attributes
    ----------
    task : str
        Name of the task.
    error : str
        Error that ended it.
    place : str
        Innermost function and line of the error.
    """

    part: ClassVar[str] = 'app'
    rate_limited: ClassVar[bool] = True

    task: str
    error: str
    place: str
