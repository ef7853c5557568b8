"""Calls that are started before the turn of their request on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final, Protocol

from aiohttp import web

from lycheespar.call import Answer
from lycheespar.ingress.request import CallerRequest
from lycheespar.protocol.body import WINDOW_BYTES
from lycheespar.streams import close_stream

# Answers in bytes that may wait for their turn on one connection before the
# calls of further requests wait too.
MAX_HELD_BYTES: Final = 1024 * 1024


class EarlyCalls(Protocol):
    """Starts calls for requests that wait behind others on a connection."""

    @property
    def stopping(self) -> bool:
        """Whether the node is stopping."""

    @property
    def max_body_bytes(self) -> int:
        """Largest length in bytes of a request's body."""

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return whether a request may run beside those around it."""

    def start_call(self, request: CallerRequest) -> asyncio.Task[Answer]:
        """Start the call for a request."""

    def given_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that a caller gave a request; empty if none."""


def held_bytes(request: CallerRequest) -> int:
    """Return the memory in bytes that an early answer may hold."""
    call = request.early_call
    if call is None or not call.done() or call.cancelled() or call.exception():
        return 0
    body = call.result().body
    return len(body) if isinstance(body, bytes) else WINDOW_BYTES


def discard_call(call: asyncio.Task[Answer] | None) -> None:
    """Cancel a call whose answer can't be sent, and release its answer."""
    if call is None:
        return
    call.cancel()
    call.add_done_callback(_release_answer)


def _release_answer(call: asyncio.Task[Answer]) -> None:
    if not call.cancelled() and call.exception() is None:
        asyncio.ensure_future(close_stream(call.result().body))
