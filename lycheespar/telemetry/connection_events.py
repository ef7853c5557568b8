"""Structured events about callers' connections."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event


class ConnectionCut(Event, frozen=True, tag='connection_cut'):
    """The node closed a caller's connection that was still in use.

    The caller may not have received the last answer, or gets none.

    Attributes
    ----------
    reason : str
        Short description of why the connection was closed.
    answered : str
        Id of the request that was answered last; empty if there was none.
    unanswered : tuple[str, ...]
        Ids of the requests that were read and end without an answer.
    since_answer_s : float
        Time in seconds since the last answer was handed to the system; -1 if
        there was none.
    body_complete : bool
        Whether the body of that request had been read to its end.
    unread_bytes : int
        Bytes that had arrived and were not read; closing resets the connection
        if there are any, and the reset may discard an answer on its way.
    unsent_bytes : int
        Bytes that the caller's system had not acknowledged.
    stopping : bool
        Whether the node was stopping.
    """

    part: ClassVar[str] = 'ingress'
    rate_limited: ClassVar[bool] = True

    reason: str
    answered: str
    unanswered: tuple[str, ...]
    since_answer_s: float
    body_complete: bool
    unread_bytes: int
    unsent_bytes: int
    stopping: bool
