"""Receives the bodies of requests within bounds of memory."""

from __future__ import annotations

from typing import Final

import msgspec
from aiohttp import web

from lycheespar.errors import BodyTooLargeError

# Bytes of a body up to which it is received even if the memory is in use.
SMALL_BODY_BYTES: Final = 64 * 1024


class _Receipt(msgspec.Struct, eq=False):
    """A body that is being received.

    Attributes
    ----------
    request : web.BaseRequest
        Request with the body.
    size : int
        Bytes received so far.
    """

    request: web.BaseRequest
    size: int = 0


class BodyReader:
    """Receives bodies; those being received share a bound of memory.

    When the bound is exceeded, the connection whose body was begun first is
    closed.

    Parameters
    ----------
    max_bytes : int
        Largest size of a body, in bytes.
    shared_bytes : int
        Bytes that bodies may use together while they are received.
    """

    __slots__ = ('_held_bytes', '_max_bytes', '_receipts', '_shared_bytes')

    def __init__(self, max_bytes: int, shared_bytes: int) -> None:
        """Create a reader that receives no body yet."""
        self._max_bytes = max_bytes
        self._shared_bytes = shared_bytes
        self._held_bytes = 0
        self._receipts: dict[_Receipt, None] = {}

    async def read(self, request: web.BaseRequest) -> bytes:
        """Return the body of a request.

        Raises
        ------
        BodyTooLargeError
            The body exceeds the limit; the rest of it is not received.
        """
        receipt = _Receipt(request)
        self._receipts[receipt] = None
        chunks: list[bytes] = []
        try:
            async for chunk in request.content.iter_any():
                chunks.append(chunk)
                self._add(receipt, len(chunk))
            return b''.join(chunks)
        finally:
            self._receipts.pop(receipt, None)
            self._held_bytes -= receipt.size

    def _add(self, receipt: _Receipt, size: int) -> None:
        """Count received bytes; make room for them if there are too many."""
        receipt.size += size
        self._held_bytes += size
        if receipt.size > self._max_bytes:
            raise BodyTooLargeError(
                f'the body has more than {self._max_bytes} bytes'
            )
        if receipt.size <= SMALL_BODY_BYTES:
            return
        if self._held_bytes > self._shared_bytes:
            self._close_oldest()

    def _close_oldest(self) -> None:
        """Close the connection whose large body was begun first."""
        large = (
            receipt
            for receipt in self._receipts
            if receipt.size > SMALL_BODY_BYTES
        )
        oldest = next(large)
        self._receipts.pop(oldest)
        transport = oldest.request.transport
        if transport is not None:
            transport.abort()
