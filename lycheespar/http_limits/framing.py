"""Follows where in a request the bytes of a connection stand."""

from __future__ import annotations

from typing import Final

from aiohttp import hdrs
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from lycheespar.unparsed import UnparsedBytes

# Most bytes of heads and chunks that the parser gets at once; its errors keep
# them.
MAX_PIECE_BYTES: Final = 16 * 1024


class RequestFraming:
    """Cuts the bytes of a connection into pieces for the parser.

    A piece ends where a head or a body ends, so that it is known whether the
    parser is between two requests, and how many bytes belong to a head that
    is not complete.

    Attributes
    ----------
    head_bytes : int
        Bytes since the last progress that belong to no complete head and no
        body: parts of a head, trailers, sizes and extensions of chunks.
    empty_bytes : int
        Bytes of empty lines since the last request; the parser gets none.
    """

    __slots__ = (
        '_at_start',
        '_body',
        '_body_bytes',
        '_body_left',
        '_unparsed',
        'empty_bytes',
        'head_bytes',
    )

    def __init__(self) -> None:
        """Start before the first request."""
        self._unparsed = UnparsedBytes()
        self._at_start = True
        self._body: StreamReader | None = None
        # Bytes to come of a body with a declared length; 0 if it is chunked.
        self._body_left = 0
        self._body_bytes = 0
        self.head_bytes = 0
        self.empty_bytes = 0

    def __bool__(self) -> bool:
        """Whether there are bytes to parse."""
        return bool(self._unparsed)

    def __len__(self) -> int:
        """Return the number of bytes to parse."""
        return len(self._unparsed)

    @property
    def body(self) -> StreamReader | None:
        """Body that is being received."""
        return self._body

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of an unfinished head, or of the empty lines before it."""
        return max(self.head_bytes, self.empty_bytes)

    @property
    def is_chunked(self) -> bool:
        """Whether a body in chunks is being received."""
        return self._body is not None and not self._body_left

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._unparsed.add(data)

    def put_back(self, data: bytes) -> None:
        """Add bytes behind a request that the parser has not read."""
        self._unparsed.put_back(data)
        self._at_start = self._body is None

    def clear(self) -> None:
        """Discard all bytes and forget the body."""
        self._unparsed.clear()
        self._end_body()

    def take(self) -> bytes:
        """Take the next piece; none if there were only empty lines."""
        body = self._body
        if body is not None and body.is_eof():
            self._end_body()
            body = None
        if body is None:
            if self._at_start:
                self.empty_bytes += self._unparsed.skip_line_ends()
        elif self._body_left:
            return self._take_of_body()
        else:
            self._body_bytes = body.total_bytes
        piece = self._unparsed.take(MAX_PIECE_BYTES)
        self.head_bytes += len(piece)
        if piece:
            self._at_start = False
        return piece

    def add_message(
        self, message: RawRequestMessage, body: StreamReader
    ) -> None:
        """Note that the piece taken last has completed a head."""
        self.head_bytes = 0
        self.empty_bytes = 0
        if body.is_eof():
            self._end_body()
            return
        self._body = body
        self._body_left = 0
        if not message.chunked:
            length = int(message.headers.get(hdrs.CONTENT_LENGTH, '0'))
            self._body_left = max(length - body.total_bytes, 0)

    def end_piece(self) -> None:
        """Note that the piece taken last has been parsed."""
        body = self._body
        if body is None or self._body_left:
            return
        if body.is_eof():
            self._end_body()
        elif body.total_bytes > self._body_bytes:
            self.head_bytes = 0

    def _take_of_body(self) -> bytes:
        """Take bytes of a body with a declared length."""
        piece = self._unparsed.take_bytes(self._body_left)
        self._body_left -= len(piece)
        if not self._body_left:
            self._end_body()
        return piece

    def _end_body(self) -> None:
        """Note the end of a request with the end of the last piece."""
        self._body = None
        self._body_left = 0
        self.head_bytes = 0
        self._at_start = self._unparsed.ended_head
