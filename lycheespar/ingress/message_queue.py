"""Requests of a connection that wait for their turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web import RequestPayloadError

from lycheespar.http_limits.head_queue import Entry, HeadQueue


class MessageQueue(HeadQueue):
    """Queue that notes when each of its messages arrived.

    aiohttp appends messages at more than one place and takes them at another,
    so the times are kept where that happens.

    Parameters
    ----------
    clock : Callable[[], float]
        Returns the current time in seconds.
    admits : Callable[[int], bool]
        Whether a head of a length that needs some memory may be kept.

    Attributes
    ----------
    taken_read_at : float
        When the message that was taken last had arrived.
    answered_body : StreamReader | None
        Body of the request that was answered last.
    """

    __slots__ = (
        '_clock',
        '_newest_body',
        '_times',
        'answered_body',
        'taken_read_at',
    )

    def __init__(
        self,
        clock: Callable[[], float],
        admits: Callable[[int], bool],
    ) -> None:
        """Create an empty queue."""
        super().__init__(admits)
        self._clock = clock
        self._times: deque[float] = deque()
        self._newest_body: StreamReader | None = None
        self.taken_read_at = clock()
        self.answered_body: StreamReader | None = None

    def append(self, entry: Entry) -> None:
        """Add a message that has arrived now.

        aiohttp adds an error of its parser like a message, and leaves a body
        pending that the error interrupts.
        """
        message, body = entry
        if not isinstance(message, RawRequestMessage):
            self.fail_newest_body()
        self._newest_body = body
        self._times.append(self._clock())
        super().append(entry)

    def popleft(self) -> Entry:
        """Take the oldest message."""
        entry = super().popleft()
        self.taken_read_at = self._times.popleft()
        return entry

    def read_at(self, index: int) -> float:
        """Return when the message at a position arrived."""
        return self._times[index]

    def fail_newest_body(self) -> None:
        """Fail the body of the message added last, unless it is complete.

        Once its request is answered, nobody needs the rest.
        """
        body = self._newest_body
        if body is None or body.is_eof() or body.exception() is not None:
            return
        if body is self.answered_body:
            body.feed_eof()
            return
        body.set_exception(RequestPayloadError('the body is not valid HTTP'))
