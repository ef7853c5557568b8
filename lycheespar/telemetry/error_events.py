"""Structured events about errors that no part of the process handled."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event


class UnhandledError(Event, frozen=True, tag='unhandled_error'):
    """An error left a callback, a task or a library without being handled.

    Attributes
    ----------
    message : str
        What reports the error.
    error : str
        The error.
    trace : tuple[str, ...]
        Innermost functions and lines of the error, the innermost last.
    connection : str
        Addresses of both ends of the connection that the error ended; empty
        if it concerns none.
    requests : tuple[str, ...]
        Ids of the requests that were in progress on the connection.
    task : str
        Name of the task that the error ended; empty if it concerns none.
    """

    part: ClassVar[str] = 'app'
    rate_limited: ClassVar[bool] = True

    message: str
    error: str
    trace: tuple[str, ...] = ()
    connection: str = ''
    requests: tuple[str, ...] = ()
    task: str = ''


class ChannelRejected(Event, frozen=True, tag='channel_rejected'):
    """A channel from another node was closed, as it exceeded a limit.

    Attributes
    ----------
    reason : str
        The limit, or what was wrong with a message of the channel.
    """

    part: ClassVar[str] = 'protocol'
    rate_limited: ClassVar[bool] = True

    reason: str


class MemberRejected(Event, frozen=True, tag='member_rejected'):
    """A new member was not recorded, as there are too many of its kind.

    Attributes
    ----------
    members : int
        Number of members that are recorded.
    """

    part: ClassVar[str] = 'membership'
    rate_limited: ClassVar[bool] = True

    members: int
