"""Reports callers' connections that the node closes while they are in use."""

from __future__ import annotations

import socket

from aiohttp.streams import StreamReader

from lycheespar.ingress.request import CallerRequest
from lycheespar.protocol.sockets import unread_bytes, unsent_bytes
from lycheespar.telemetry.connection_events import ConnectionCut
from lycheespar.telemetry.event_log import events


class CutReport:
    """What the end of one connection would cut off.

    Attributes
    ----------
    socket : socket.socket | None
        Socket of the connection.
    answered_at : float
        When the last answer was written, in seconds of the event loop's clock.
    caller_left : bool
        Whether the caller has ended the connection.
    aborted : tuple[str, ...]
        Ids of requests whose handling was cancelled or failed.
    """

    __slots__ = (
        '_answered_body',
        '_answered_id',
        '_reason',
        'aborted',
        'answered_at',
        'caller_left',
        'socket',
    )

    def __init__(self) -> None:
        """Start for a connection on which nothing was answered."""
        self.socket: socket.socket | None = None
        self.caller_left = False
        self.aborted: tuple[str, ...] = ()
        self._reason = ''
        self._answered_id = ''
        self._answered_body: StreamReader | None = None
        self.answered_at = float('-inf')

    @property
    def reason(self) -> str:
        """Why the node closes the connection; the first reason is kept."""
        return self._reason

    @reason.setter
    def reason(self, reason: str) -> None:
        self._reason = self._reason or reason

    def answered(self, request: CallerRequest | None, now: float) -> None:
        """Note that a request was answered, at a time in seconds."""
        # An idle connection must not keep its last request in memory.
        self._answered_id = '' if request is None else request.request_id
        self._answered_body = None if request is None else request.content
        self.answered_at = now

    def write(
        self, unanswered: tuple[str, ...], now: float, *, stopping: bool
    ) -> None:
        """Write the event of a connection that ends, unless nothing is cut.

        Parameters
        ----------
        unanswered : tuple[str, ...]
            Ids of the requests that were read and are not answered.
        now : float
            Current time in seconds on the event loop's clock.
        stopping : bool
            Whether the node is stopping.
        """
        if self.caller_left or self.socket is None:
            return
        body = self._answered_body
        complete = body is None or body.is_eof()
        unread = unread_bytes(self.socket)
        unanswered = (*self.aborted, *unanswered)
        if complete and not unread and not unanswered:
            return
        since_answer_s = now - self.answered_at
        events.write(
            ConnectionCut(
                self._reason,
                self._answered_id,
                unanswered,
                -1 if body is None else round(since_answer_s, 3),
                complete,
                unread,
                unsent_bytes(self.socket),
                stopping,
            )
        )
