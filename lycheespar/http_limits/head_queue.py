"""Requests of a connection that wait for their turn, and their memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from lycheespar.errors import (
    BadRequestError,
    RequestError,
    RequestsOverMemoryError,
)

Entry = tuple[Any, Any]

# Memory in bytes that a field of a head needs beside its text, and how many
# times the parser and the request keep the text.
FIELD_BYTES: Final = 512
TEXT_COPIES: Final = 8


class HeadQueue(deque[Entry]):
    """Queue that knows how much memory its messages need.

    aiohttp adds an error of its parser like a message; it is replaced by one
    that does not keep the bytes that it describes.

    Parameters
    ----------
    admits : Callable[[int], bool]
        Whether a head of a length that needs some memory may be kept.

    Attributes
    ----------
    head_bytes : int
        Length of the head that is parsed next.
    held_bytes : int
        Memory of the waiting messages and of the one taken last.
    """

    __slots__ = (
        '_admits',
        '_sizes',
        '_taken_bytes',
        'head_bytes',
        'held_bytes',
    )

    def __init__(self, admits: Callable[[int], bool]) -> None:
        """Create an empty queue."""
        super().__init__()
        self._admits = admits
        self._sizes: deque[int] = deque()
        self._taken_bytes = 0
        self.head_bytes = 0
        self.held_bytes = 0

    @property
    def waiting_bytes(self) -> int:
        """Memory of the waiting messages."""
        return self.held_bytes - self._taken_bytes

    def append(self, entry: Entry) -> None:
        """Add a message or an error of the parser."""
        message, _ = entry
        size = 0
        if isinstance(message, RawRequestMessage):
            size = self.head_bytes * TEXT_COPIES
            size += len(message.raw_headers) * FIELD_BYTES
            if not self._admits(size):
                entry = error_entry(RequestsOverMemoryError())
                size = 0
        elif not isinstance(message.exc, RequestError):
            entry = error_entry(
                BadRequestError('the request is not valid HTTP')
            )
        self._sizes.append(size)
        self.held_bytes += size
        super().append(entry)

    def popleft(self) -> Entry:
        """Take the oldest message."""
        self.release_taken()
        self._taken_bytes = self._sizes.popleft()
        return super().popleft()

    def release_taken(self) -> None:
        """Note that the message taken last is answered."""
        self.held_bytes -= self._taken_bytes
        self._taken_bytes = 0


def error_entry(error: RequestError) -> Entry:
    """Return the entry for a request that is answered with an error."""
    return _ErrInfo(error.status, error, error.detail), EMPTY_PAYLOAD
