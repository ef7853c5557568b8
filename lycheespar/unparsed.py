"""Bytes of a connection that were received and are not parsed yet."""

from __future__ import annotations

from typing import Final

HEAD_END: Final = b'\r\n\r\n'
_LINE_ENDS: Final = b'\r\n'
# Bytes of a head's end that may stand in the piece before.
_MOST_OVERLAP: Final = len(HEAD_END) - 1


class UnparsedBytes:
    """Passes bytes to a parser in pieces that end with a head.

    An error of aiohttp's parser discards what it has read from the same piece,
    so that requests before the error must be in pieces of their own.
    """

    __slots__ = ('_begin', '_data', '_last')

    def __init__(self) -> None:
        """Start without bytes."""
        self._data = b''
        self._begin = 0
        # End of the piece taken last, if it did not end with a head.
        self._last = b''

    def __bool__(self) -> bool:
        """Whether there are bytes to parse."""
        return self._begin < len(self._data)

    def __len__(self) -> int:
        """Return the number of bytes to parse."""
        return len(self._data) - self._begin

    @property
    def ended_head(self) -> bool:
        """Whether the piece that `take` returned last ended with a head."""
        return not self._last

    def add(self, data: bytes) -> None:
        """Add bytes behind all others."""
        self._data = self._data[self._begin :] + data
        self._begin = 0

    def put_back(self, data: bytes) -> None:
        """Add bytes before all others."""
        self._data = data + self._data[self._begin :]
        self._begin = 0
        self._last = b''

    def take(self, limit: int | None = None) -> bytes:
        """Take the bytes up to the end of the next head, or all.

        Parameters
        ----------
        limit : int | None
            Most bytes that are taken.
        """
        begin = self._begin
        last = len(self._data) if limit is None else begin + limit
        end = self._overlapping_end() if self._last else -1
        if end < 0:
            end = self._data.find(HEAD_END, begin, last)
            end = end if end < 0 else end + len(HEAD_END)
        piece = self._cut(last if end < 0 else end)
        self._last = b'' if end >= 0 else (self._last + piece)[-_MOST_OVERLAP:]
        return piece

    def take_bytes(self, limit: int) -> bytes:
        """Take some bytes, whatever they contain."""
        self._last = b''
        return self._cut(self._begin + limit)

    def skip_line_ends(self) -> int:
        """Discard CR and LF before all other bytes; return their number."""
        begin = self._begin
        if self._data[begin : begin + 1] not in _LINE_ENDS:
            return 0
        rest = self._data[begin:].lstrip(_LINE_ENDS)
        skipped = len(self) - len(rest)
        self._data = rest
        self._begin = 0
        self._last = b''
        return skipped

    def clear(self) -> None:
        """Discard all bytes."""
        self._data = b''
        self._begin = 0
        self._last = b''

    def _overlapping_end(self) -> int:
        """Return where a head ends that began to end in the last piece."""
        next_bytes = self._data[self._begin : self._begin + _MOST_OVERLAP]
        end = (self._last + next_bytes).find(HEAD_END)
        if end < 0:
            return -1
        return self._begin + end + len(HEAD_END) - len(self._last)

    def _cut(self, last: int) -> bytes:
        """Take the bytes up to a position."""
        begin = self._begin
        self._begin = min(last, len(self._data))
        piece = self._data[begin : self._begin]
        if not self:
            # An idle connection must not keep its last bytes in memory.
            self._data = b''
            self._begin = 0
        return piece
