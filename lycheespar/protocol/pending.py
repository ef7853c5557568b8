"""Calls on a channel that wait for the heads of their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    ChannelLostError,
    ChannelUnresponsiveError,
    RequestError,
    request_error,
)
from lycheespar.protocol.delivery import Delivery
from lycheespar.protocol.messages import Refused, Request
from lycheespar.protocol.start_check import CancelElsewhere, StartCheck

# Time in seconds after which a call that the other node has not acknowledged
# is given up on this channel, as the channel is taken to be silent. The time
# begins again while the request or the acknowledgement waits behind others.
ACCEPT_TIMEOUT_S: Final = 0.25
# Age in seconds past which the known clock of the other node is too old for new
# calls. It is less than the age past which the other node no longer starts a
# request (`MAX_REQUEST_AGE_MS`).
MAX_CLOCK_AGE_S: Final = 10
# Age in seconds of an unacknowledged call past which the other node may no
# longer remember it, so that it can't tell whether the call started.
RELIABLE_CANCEL_S: Final = 10
MS_PER_S: Final = 1000


class PendingCall:
    """A call that waits for the head of its answer.

    Attributes
    ----------
    sent_at : float
        Instant on the event loop's clock when the call was sent, in seconds.
    accepted : bool
        Whether the other node has acknowledged the call.
    request_id : str
        Id of the request for logs.
    answer : asyncio.Future[Answer]
        The answer, or the error with which the call failed.
    cancel_result : asyncio.Future[bool]
        Whether the call may have started before it was cancelled.
    check_at : float
        Instant at which the acknowledgement is overdue.
    delivery : Delivery | None
        Follows the request on its way, once it is written.
    deadline : float
        Deadline of the call in seconds on the event loop's clock; the time at
        which it was sent if it has none, as only calls have streamed answers.
    start_check : StartCheck | None
        Started instead of failing the call if it is not acknowledged in time.
    """

    __slots__ = (
        'accepted',
        'answer',
        'cancel_result',
        'check_at',
        'deadline',
        'delivery',
        'request_id',
        'sent_at',
        'start_check',
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, request_id: str
    ) -> None:
        """Record the time and create the futures."""
        self.request_id = request_id
        self.sent_at = loop.time()
        self.check_at = self.sent_at + ACCEPT_TIMEOUT_S
        self.deadline = self.sent_at
        self.delivery: Delivery | None = None
        self.accepted = False
        self.answer: asyncio.Future[Answer] = loop.create_future()
        self.cancel_result: asyncio.Future[bool] = loop.create_future()
        self.start_check: StartCheck | None = None

    @property
    def has_advanced(self) -> bool:
        """Whether the request or its reply moved since the last look."""
        return self.delivery is not None and self.delivery.has_advanced()

    @property
    def cancel_reliable(self) -> bool:
        """Whether a `CancelResult` for the call would be reliable.

        The other node may forget a call that it has not acknowledged.
        """
        age_s = asyncio.get_running_loop().time() - self.sent_at
        return self.accepted or age_s < RELIABLE_CANCEL_S


class PendingCalls:
    """Pending calls of one channel, by call id.

    Parameters
    ----------
    clock_ms : int
        Clock of the other node, from its first message.
    on_unacknowledged : Callable[[], None]
        Called after calls were not acknowledged within `ACCEPT_TIMEOUT_S`.
        The other calls stay pending.

    Attributes
    ----------
    clock_ms : int
        Newest known clock of the other node.
    """

    __slots__ = (
        '_calls',
        '_clock_updated_at',
        '_loop',
        '_on_unacknowledged',
        '_timer',
        '_unacknowledged',
        'clock_ms',
    )

    def __init__(
        self, clock_ms: int, on_unacknowledged: Callable[[], None]
    ) -> None:
        """Start without pending calls."""
        self._on_unacknowledged = on_unacknowledged
        self._loop = asyncio.get_running_loop()
        self.update_clock(clock_ms)
        self._calls: dict[bytes, PendingCall] = {}
        self._unacknowledged: dict[bytes, PendingCall] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of pending calls."""
        return len(self._calls)

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Ids of the requests whose calls are pending."""
        return tuple(pending.request_id for pending in self._calls.values())

    @property
    def clock_fresh(self) -> bool:
        """Whether the known clock of the other node is recent enough."""
        return self._loop.time() - self._clock_updated_at < MAX_CLOCK_AGE_S

    def update_clock(self, clock_ms: int) -> None:
        """Store a newer clock value of the other node."""
        self.clock_ms = clock_ms
        self._clock_updated_at = self._loop.time()

    def get(self, call_id: bytes) -> PendingCall | None:
        """Return the pending call with an id, if there is one."""
        return self._calls.get(call_id)

    def add(
        self,
        call_id: bytes,
        request_id: str = '',
        cancel_elsewhere: CancelElsewhere | None = None,
    ) -> PendingCall:
        """Add a call that is about to be sent.

        If `cancel_elsewhere` is given and the call is not acknowledged in
        time, it is cancelled with it unless it has started.
        """
        pending = PendingCall(self._loop, request_id)
        if cancel_elsewhere is not None:
            pending.start_check = StartCheck(
                call_id, pending.answer, cancel_elsewhere
            )
        self._calls[call_id] = pending
        self._unacknowledged[call_id] = pending
        if self._timer is None:
            self._schedule_check(ACCEPT_TIMEOUT_S)
        return pending

    def remove(self, call_id: bytes) -> None:
        """Remove a call, whether it has ended or not."""
        pending = self._calls.pop(call_id, None)
        self._unacknowledged.pop(call_id, None)
        if pending is not None and pending.start_check is not None:
            pending.start_check.stop()

    def acknowledge(self, call_id: bytes, clock_ms: int) -> None:
        """Mark a call as acknowledged and store the other node's clock."""
        self.update_clock(clock_ms)
        self._unacknowledged.pop(call_id, None)
        pending = self._calls.get(call_id)
        if pending is not None:
            pending.accepted = True

    def fail(self, refused: Refused) -> None:
        """Fail a call with the error that the other node sent for it."""
        pending = self._calls.get(refused.call_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(_refusal(refused))

    def resolve_cancel(self, call_id: bytes, *, started: bool) -> None:
        """Set the result of a cancellation."""
        self._unacknowledged.pop(call_id, None)
        pending = self._calls.get(call_id)
        if pending is not None and not pending.cancel_result.done():
            pending.cancel_result.set_result(started)

    def fail_all(self, error: ChannelLostError) -> None:
        """Fail all calls with the error that ended the channel."""
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._calls.values():
            _fail(pending, type(error)(accepted=pending.accepted))

    def _schedule_check(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._fail_overdue)

    def _fail_overdue(self) -> None:
        """Give up the calls that were not acknowledged in time."""
        self._timer = None
        now = self._loop.time()
        due = [
            (call_id, pending)
            for call_id, pending in self._unacknowledged.items()
            if pending.check_at <= now
        ]
        overdue = []
        for call_id, pending in due:
            self._unacknowledged.pop(call_id)
            if pending.has_advanced:
                pending.check_at = now + ACCEPT_TIMEOUT_S
                self._unacknowledged[call_id] = pending
            else:
                overdue.append(pending)
        for unacknowledged in overdue:
            _give_up(unacknowledged)
        oldest = next(iter(self._unacknowledged.values()), None)
        if oldest is not None:
            self._schedule_check(max(0, oldest.check_at - now))
        if overdue:
            self._on_unacknowledged()


def _give_up(pending: PendingCall) -> None:
    """Handle a call that was not acknowledged in time."""
    if pending.start_check is None:
        _fail(pending, ChannelUnresponsiveError())
    else:
        pending.start_check.start()


def _fail(pending: PendingCall, error: ChannelLostError) -> None:
    """Fail a call whose channel was lost, unless it has ended."""
    if not pending.cancel_result.done():
        pending.cancel_result.set_result(True)
    if not pending.answer.done():
        pending.answer.set_exception(error)
        # Mark the error as retrieved: a call that only waits for the result
        # of its cancellation never awaits the answer.
        pending.answer.exception()


def _refusal(refused: Refused) -> RequestError:
    error = request_error(
        refused.code,
        refused.detail,
        refused.retry_after_s,
    )
    error.load = refused.load
    return error


def build_request(call: Call, clock_ms: int, *, attach_only: bool) -> Request:
    """Build the message that sends a call to another node.

    Parameters
    ----------
    call : Call
        The call.
    clock_ms : int
        Newest known clock of the receiver.
    attach_only : bool
        Whether the receiver has acknowledged the call before.
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
        echoed_clock_ms=clock_ms,
        attach_only=attach_only,
        objective_ms=(
            (call.objective_at - loop.time()) * MS_PER_S
            if call.objective_at
            else 0
        ),
        request_id=call.request_id,
    )
