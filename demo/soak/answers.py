"""Incremental parser of the answers on one connection."""

from __future__ import annotations

from typing import Final

import msgspec

_HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
_HEXADECIMAL: Final = 16


class Answer(msgspec.Struct):
    """A complete answer.

    Attributes
    ----------
    status : int
        Status code.
    headers : dict[str, str]
        Headers by lower-case name.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerParser:
    """Splits the bytes of a connection into complete answers."""

    def __init__(self) -> None:
        """Start at the beginning of an answer."""
        self._buffer = bytearray()
        self._needed = 0

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Answer]:
        """Add bytes; return the answers that are complete now."""
        self._buffer += data
        answers = []
        while len(self._buffer) >= self._needed and self._buffer:
            self._needed = 0
            answer = self._take(ended=False)
            if answer is None:
                break
            answers.append(answer)
        return answers

    def end(self) -> Answer | None:
        """Return the answer that ends with the connection, if any."""
        return self._take(ended=True)

    def _take(self, *, ended: bool) -> Answer | None:
        head_end = self._buffer.find(_HEAD_END)
        if head_end < 0:
            return None
        first, *rest = self._buffer[:head_end].decode('latin-1').split('\r\n')
        pairs = (line.partition(':') for line in rest)
        headers = {
            name.strip().lower(): value.strip() for name, _, value in pairs
        }
        begin = head_end + len(_HEAD_END)
        end = self._body_end(headers, begin, ended=ended)
        if end is None:
            return None
        body, stop = end
        del self._buffer[:stop]
        return Answer(int(first.split()[1]), headers, body)

    def _body_end(
        self, headers: dict[str, str], begin: int, *, ended: bool
    ) -> tuple[bytes, int] | None:
        """Return the body and the position behind it; None if incomplete."""
        if headers.get('transfer-encoding') == 'chunked':
            return self._chunked(begin)
        length = headers.get('content-length')
        if length is None:
            if not ended:
                return None
            return bytes(self._buffer[begin:]), len(self._buffer)
        stop = begin + int(length)
        if len(self._buffer) < stop:
            self._needed = stop
            return None
        return bytes(self._buffer[begin:stop]), stop

    def _chunked(self, begin: int) -> tuple[bytes, int] | None:
        body = bytearray()
        position = begin
        while True:
            line_end = self._buffer.find(_LINE_END, position)
            if line_end < 0:
                return None
            size = int(self._buffer[position:line_end], _HEXADECIMAL)
            chunk = line_end + len(_LINE_END)
            position = chunk + size + len(_LINE_END)
            if len(self._buffer) < position:
                return None
            if not size:
                return bytes(body), position
            body += self._buffer[chunk : chunk + size]
