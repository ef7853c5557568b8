"""Deduplication of calls: each call id is executed at most once.

An execution belongs to this table, not to the channel on which its request
arrived: if the channel is lost, the sender attaches to the execution through a
new one. Ids are remembered for longer than a copy of a request can be in
transit, so a delayed copy never starts a second execution.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final, Protocol

from loguru import logger

from lycheespar.admission.expiring_ids import ExpiringIds
from lycheespar.call import Answer, Call, Execution
from lycheespar.errors import (
    CancelledRequestError,
    InternalRequestError,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    RequestError,
)
from lycheespar.streams import close_stream
from lycheespar.telemetry.unhandled import report_unhandled

# Time in seconds for which an execution continues without an attached sender;
# longer than the time for which senders try to attach again.
DETACHED_TIMEOUT_S: Final = 4
# Time in seconds for which an answer is retained to be sent again.
REPLAY_RETENTION_S: Final = 5
# Maximum size in bytes of all answers retained to be sent again.
MAX_REPLAY_BYTES: Final = 4 * 1024 * 1024
# Minimum time in seconds for which the id of a finished call is remembered.
MIN_ID_AGE_S: Final = 30
# Number of remembered ids from which on new calls are refused.
MAX_REMEMBERED_IDS: Final = 200_000

log = logger.bind(part='admission')


class Sender(Protocol):
    """Receiver of the outcome of an execution."""

    async def answer(self, call_id: bytes, answer: Answer) -> None:
        """Send an answer."""

    def refuse(self, call_id: bytes, error: RequestError) -> None:
        """Send an error."""

    def end_body(self, call_id: bytes) -> None:
        """Fail the body of a request unless all of it has arrived."""


class _TrackedExecution:
    """Execution of a call, running or recently finished."""

    __slots__ = (
        'call',
        'detach_timer',
        'outcome',
        'sender',
        'sender_attached',
        'task',
    )

    def __init__(self, call: Call, sender: Sender) -> None:
        self.call = call
        self.sender: Sender | None = sender
        self.outcome: Answer | RequestError | None = None
        self.detach_timer: asyncio.TimerHandle | None = None
        self.sender_attached: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None


class CallTable:
    """Table of this node's executions by call id.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    """

    __slots__ = (
        '_cancelled_ids',
        '_execution',
        '_executions',
        '_finished_ids',
        '_replay_bytes',
        '_replays',
    )

    def __init__(self, execution: Execution) -> None:
        """Create a table without executions."""
        self._execution = execution
        self._executions: dict[bytes, _TrackedExecution] = {}
        self._replays: deque[tuple[float, bytes, int]] = deque()
        self._replay_bytes = 0
        self._finished_ids = ExpiringIds(MIN_ID_AGE_S)
        self._cancelled_ids = ExpiringIds(MIN_ID_AGE_S)

    def attach(self, call_id: bytes, sender: Sender) -> bool:
        """Attach a sender to the execution of a call, if there is one."""
        tracked = self._executions.get(call_id)
        if tracked is not None:
            self._attach(tracked, sender)
        return tracked is not None

    def submit(
        self,
        call: Call,
        sender: Sender,
        *,
        attach_only: bool = False,
    ) -> None:
        """Start the execution of a call unless its id is known.

        Parameters
        ----------
        call : Call
            The call.
        sender : Sender
            Receives the outcome.
        attach_only : bool
            Whether to fail instead of starting an execution.
        """
        error = self._start_error(call.call_id, attach_only=attach_only)
        if error is not None:
            sender.refuse(call.call_id, error)
            return
        tracked = _TrackedExecution(call, sender)
        self._executions[call.call_id] = tracked
        tracked.task = asyncio.create_task(self._run(tracked))

    def cancel(
        self, call_id: bytes, *, accepted: bool, unless_started: bool = False
    ) -> bool:
        """Cancel a call; if its request arrives later, it is not started.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        accepted : bool
            Whether this node acknowledged the call to its sender.
        unless_started : bool
            Whether a call that has started runs on.

        Returns
        -------
        bool
            Whether the call may have run; false guarantees that it never will.
        """
        tracked = self._executions.get(call_id)
        if tracked is None:
            return self._cancel_unknown(call_id, accepted=accepted)
        started = tracked.call.started
        if unless_started and started:
            return True
        if tracked.outcome is not None:
            _stop_streaming(tracked)
            return not isinstance(tracked.outcome, RefusedError)
        self._abort(tracked, OutcomeUnknownError('the call was cancelled'))
        if not started:
            self._cancelled_ids.add(call_id)
        return started

    def request_ids(self, sender: Sender) -> tuple[str, ...]:
        """Return the ids of the requests that a sender waits for."""
        return tuple(
            tracked.call.request_id
            for tracked in self._executions.values()
            if tracked.sender is sender
        )

    def detach(self, sender: Sender) -> None:
        """Detach a sender from its executions.

        They continue for `DETACHED_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        for tracked in self._executions.values():
            if tracked.sender is sender:
                tracked.sender = None
                _stop_streaming(tracked)
                if tracked.outcome is None:
                    tracked.detach_timer = loop.call_later(
                        DETACHED_TIMEOUT_S,
                        self._on_detach_timeout,
                        tracked,
                    )

    async def close(self) -> None:
        """Cancel all executions."""
        tasks = [
            tracked.task
            for tracked in self._executions.values()
            if tracked.task
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_error(
        self,
        call_id: bytes,
        *,
        attach_only: bool,
    ) -> RequestError | None:
        """Return why a call without an execution must not be started."""
        if call_id in self._cancelled_ids:
            return CancelledRequestError()
        if attach_only or call_id in self._finished_ids:
            return OutcomeUnknownError('the answer is no longer retained')
        if (
            len(self._finished_ids) + len(self._cancelled_ids)
            >= MAX_REMEMBERED_IDS
        ):
            return OverloadedError('too many call ids are remembered')
        return None

    def _cancel_unknown(self, call_id: bytes, *, accepted: bool) -> bool:
        """Cancel a call without an execution; return whether it may have run.

        The id is remembered, so that a request that arrives later is not
        started. If too many ids are remembered, this can't be guaranteed.
        """
        if call_id in self._cancelled_ids:
            return False
        known = accepted or call_id in self._finished_ids
        if known or len(self._cancelled_ids) >= MAX_REMEMBERED_IDS:
            return True
        self._cancelled_ids.add(call_id)
        return False

    def _attach(self, tracked: _TrackedExecution, sender: Sender) -> None:
        if tracked.sender is not None and tracked.sender is not sender:
            tracked.sender.end_body(tracked.call.call_id)
        tracked.sender = sender
        if tracked.detach_timer is not None:
            tracked.detach_timer.cancel()
            tracked.detach_timer = None
        call_id = tracked.call.call_id
        match tracked.outcome:
            case Answer(body=bytes()):
                tracked.task = asyncio.create_task(
                    sender.answer(call_id, tracked.outcome),
                )
            case Answer() if tracked.sender_attached is not None:
                tracked.sender_attached.set_result(None)
                tracked.sender_attached = None
            case Answer():
                error = OutcomeUnknownError(
                    'the streamed answer was already being sent'
                )
                sender.refuse(call_id, error)
            case RequestError():
                sender.refuse(call_id, tracked.outcome)

    async def _run(self, tracked: _TrackedExecution) -> None:
        tracked.outcome = await self._execute(tracked.call)
        tracked.call.body = b''
        match tracked.outcome:
            case Answer(body=bytes(body)):
                self._retain(tracked, len(body))
                if tracked.sender is not None:
                    await tracked.sender.answer(
                        tracked.call.call_id, tracked.outcome
                    )
            case Answer():
                await self._stream(tracked, tracked.outcome)
            case RequestError():
                self._retain(tracked, 0)
                if tracked.sender is not None:
                    tracked.sender.refuse(tracked.call.call_id, tracked.outcome)

    async def _execute(self, call: Call) -> Answer | RequestError:
        try:
            return await self._execution.execute(call)
        except RequestError as error:
            return error
        except Exception as error:
            report_unhandled(
                'A call failed with an unexpected error.',
                error,
                requests=(call.request_id,),
            )
            return InternalRequestError(str(error))

    async def _stream(self, tracked: _TrackedExecution, answer: Answer) -> None:
        """Send an answer with a streamed body, which can be sent only once."""
        try:
            if tracked.sender is None:
                tracked.sender_attached = (
                    asyncio.get_running_loop().create_future()
                )
                await tracked.sender_attached
            if tracked.sender is not None:
                await tracked.sender.answer(tracked.call.call_id, answer)
        except OSError as error:
            log.debug('A streamed answer ended early: {}.', error)
        finally:
            tracked.sender_attached = None
            self._retain(tracked, 0)
            await close_stream(answer.body)

    def _retain(self, tracked: _TrackedExecution, size: int) -> None:
        """Retain an outcome for a limited time, then only its call id."""
        if tracked.call.call_id not in self._executions:
            return
        now = asyncio.get_running_loop().time()
        self._replays.append(
            (now + REPLAY_RETENTION_S, tracked.call.call_id, size)
        )
        self._replay_bytes += size
        while self._replays and (
            self._replays[0][0] <= now or self._replay_bytes > MAX_REPLAY_BYTES
        ):
            _, call_id, freed_bytes = self._replays.popleft()
            self._replay_bytes -= freed_bytes
            self._drop_execution(call_id)

    def _drop_execution(self, call_id: bytes) -> None:
        if self._executions.pop(call_id, None) is not None:
            self._finished_ids.add(call_id)

    def _on_detach_timeout(self, tracked: _TrackedExecution) -> None:
        """End an execution to which no sender has attached again.

        A call with an idempotency key runs on: its outcome is recorded.
        """
        if tracked.outcome is None and tracked.call.idempotency_key:
            return
        if tracked.outcome is None:
            self._abort(
                tracked, OutcomeUnknownError('no sender attached again')
            )
        else:
            _stop_streaming(tracked)

    def _abort(self, tracked: _TrackedExecution, outcome: RequestError) -> None:
        """Cancel a running execution."""
        tracked.outcome = outcome
        self._drop_execution(tracked.call.call_id)
        if tracked.task is not None:
            tracked.task.cancel()


def _stop_streaming(tracked: _TrackedExecution) -> None:
    """Stop sending an answer with a streamed body."""
    match tracked.outcome:
        case Answer(body=bytes()):
            return
        case Answer() if tracked.task is not None:
            tracked.task.cancel()
