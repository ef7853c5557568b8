"""Calls on a channel that wait for their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    ChannelLostError,
    ChannelSilentError,
    RequestError,
    request_error,
)
from lycheespar.protocol.messages import Refused, Request

# Time in seconds within which a node acknowledges a call.
ACCEPT_TIMEOUT_S: Final = 0.25
# Age in seconds of the other node's clock past which it is not echoed; below
# the age at which the other node drops a message.
CLOCK_FRESH_S: Final = 10
# Age in seconds of an unacknowledged call past which the other node may have
# forgotten it, so that it can't tell whether the call started.
CANCEL_TRUST_S: Final = 10
MS_PER_S: Final = 1000


class Pending:
    """A call that waits for its answer.

    Attributes
    ----------
    sent_at : float
        Instant on the event loop's clock when the call was sent, in seconds.
    accepted : bool
        Whether the other node acknowledged the call.
    head : asyncio.Future[Answer]
        The answer, or how the call failed.
    cancelled : asyncio.Future[bool]
        Whether the call had started when it was cancelled.
    """

    __slots__ = ('accepted', 'cancelled', 'head', 'sent_at')

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to wait."""
        self.sent_at = loop.time()
        self.accepted = False
        self.head: asyncio.Future[Answer] = loop.create_future()
        self.cancelled: asyncio.Future[bool] = loop.create_future()

    @property
    def trusted(self) -> bool:
        """Whether the other node can tell that the call did not start."""
        age_s = asyncio.get_running_loop().time() - self.sent_at
        return self.accepted or age_s < CANCEL_TRUST_S


class PendingTable:
    """Calls under way on one channel.

    Parameters
    ----------
    clock_ms : int
        Clock of the other node as its first message gave it.
    on_silent : Callable[[], None]
        Called if calls are not acknowledged within `ACCEPT_TIMEOUT_S`; these
        have failed then, the others go on.

    Attributes
    ----------
    clock_ms : int
        Newest clock of the other node.
    """

    __slots__ = (
        '_calls',
        '_clock_at',
        '_loop',
        '_on_silent',
        '_timer',
        '_unaccepted',
        'clock_ms',
    )

    def __init__(self, clock_ms: int, on_silent: Callable[[], None]) -> None:
        """Start empty."""
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        self.set_clock(clock_ms)
        self._calls: dict[bytes, Pending] = {}
        self._unaccepted: dict[bytes, Pending] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of calls under way."""
        return len(self._calls)

    @property
    def fresh(self) -> bool:
        """Whether the clock of the other node is recent."""
        return self._loop.time() - self._clock_at < CLOCK_FRESH_S

    def set_clock(self, clock_ms: int) -> None:
        """Take the clock of the other node."""
        self.clock_ms = clock_ms
        self._clock_at = self._loop.time()

    def get(self, call_id: bytes) -> Pending | None:
        """Return a call that waits."""
        return self._calls.get(call_id)

    def add(self, call_id: bytes) -> Pending:
        """Begin to wait for an answer."""
        pending = Pending(self._loop)
        self._calls[call_id] = pending
        self._unaccepted[call_id] = pending
        if self._timer is None:
            self._watch(ACCEPT_TIMEOUT_S)
        return pending

    def drop(self, call_id: bytes) -> None:
        """No longer wait for a call."""
        self._calls.pop(call_id, None)
        self._unaccepted.pop(call_id, None)

    def accept(self, call_id: bytes, clock_ms: int) -> None:
        """Take an acknowledgement."""
        self.set_clock(clock_ms)
        pending = self._unaccepted.pop(call_id, None)
        if pending is not None:
            pending.accepted = True

    def refuse(self, refused: Refused) -> None:
        """End a call that the other node refused, unless it has ended."""
        pending = self._calls.get(refused.call_id)
        if pending is not None and not pending.head.done():
            pending.head.set_exception(_refusal(refused))

    def cancelled(self, call_id: bytes, *, started: bool) -> None:
        """Take the outcome of a cancellation."""
        self._unaccepted.pop(call_id, None)
        pending = self._calls.get(call_id)
        if pending is not None and not pending.cancelled.done():
            pending.cancelled.set_result(started)

    def lose(self, error: ChannelLostError) -> None:
        """End all calls with the error that ended the channel."""
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._calls.values():
            _fail(pending, type(error)(accepted=pending.accepted))

    def _watch(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        """Fail calls that were not acknowledged in time."""
        self._timer = None
        newest = self._loop.time() - ACCEPT_TIMEOUT_S
        overdue = [
            call_id
            for call_id, pending in self._unaccepted.items()
            if pending.sent_at <= newest
        ]
        for call_id in overdue:
            _fail(self._unaccepted.pop(call_id), ChannelSilentError())
        oldest = next(iter(self._unaccepted.values()), None)
        if oldest is not None:
            self._watch(max(0, oldest.sent_at - newest))
        if overdue:
            self._on_silent()


def _fail(pending: Pending, error: ChannelLostError) -> None:
    """End a call whose channel was lost, unless it has ended."""
    if not pending.cancelled.done():
        pending.cancelled.set_result(True)
    if not pending.head.done():
        pending.head.set_exception(error)
        # A call that only waits for its cancellation reads no head.
        pending.head.exception()


def _refusal(refused: Refused) -> RequestError:
    error = request_error(
        refused.code,
        refused.detail,
        refused.retry_after_s,
    )
    error.load = refused.load
    return error


def request(call: Call, clock_ms: int, *, attach_only: bool) -> Request:
    """Build the message that asks for a call.

    Parameters
    ----------
    call : Call
        The call.
    clock_ms : int
        Newest clock of the receiver.
    attach_only : bool
        Whether the receiver acknowledged the call before.
    """
    loop = asyncio.get_running_loop()
    body = call.body
    inline = body if isinstance(body, bytes) else b''
    return Request(
        call_id=call.call_id,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        request_class=call.request_class,
        weight=call.weight,
        idempotent=call.idempotent,
        budget_ms=(call.deadline - loop.time()) * MS_PER_S,
        idempotency_key=call.idempotency_key,
        fingerprint=call.fingerprint,
        traceparent=call.traceparent,
        body=inline,
        streamed=body is not inline,
        echo_ms=clock_ms,
        attach_only=attach_only,
        objective_ms=(
            (call.objective_at - loop.time()) * MS_PER_S
            if call.objective_at
            else 0
        ),
        request_id=call.request_id,
    )
