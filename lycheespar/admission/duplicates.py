"""Starts each call at most once, however often its request arrives.

An execution belongs to this table, not to the channel on which its request
came: if the channel is lost, the sender attaches to the execution on a new
one. Ids are remembered for longer than a copy of a request can be on its way,
so a late copy never starts a second execution.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final, Protocol

from loguru import logger

from lycheespar.admission.generations import Generations
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

# Time in seconds for which an execution goes on without an attached sender;
# longer than senders try to attach again.
DETACHED_S: Final = 4
# Time in seconds for which an answer can be sent again.
REPLAY_S: Final = 5
# Most bytes of answers that are kept to be sent again.
REPLAY_BYTES: Final = 4 * 1024 * 1024
# Least time in seconds for which the id of an ended call is remembered.
REMEMBER_S: Final = 30
# Ids that are remembered before further calls are refused.
MAX_REMEMBERED: Final = 200_000

log = logger.bind(part='admission')


class Sender(Protocol):
    """Where the outcome of an execution goes."""

    async def answer(self, call_id: bytes, answer: Answer) -> None:
        """Send an answer."""

    def refuse(self, call_id: bytes, error: RequestError) -> None:
        """Send an error."""


class _Run:
    """One execution, under way or ended a short time ago."""

    __slots__ = ('attached', 'call', 'expiry', 'outcome', 'sender', 'task')

    def __init__(self, call: Call, sender: Sender) -> None:
        self.call = call
        self.sender: Sender | None = sender
        self.outcome: Answer | RequestError | None = None
        self.expiry: asyncio.TimerHandle | None = None
        self.attached: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None


class DuplicateCheck:
    """Executions of this node by call id.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    """

    __slots__ = (
        '_cancelled',
        '_ended',
        '_execution',
        '_kept_bytes',
        '_replays',
        '_runs',
    )

    def __init__(self, execution: Execution) -> None:
        """Start empty."""
        self._execution = execution
        self._runs: dict[bytes, _Run] = {}
        self._replays: deque[tuple[float, bytes, int]] = deque()
        self._kept_bytes = 0
        self._ended = Generations(REMEMBER_S)
        self._cancelled = Generations(REMEMBER_S)

    def attach(self, call_id: bytes, sender: Sender) -> bool:
        """Attach a sender to the execution of a call, if there is one."""
        run = self._runs.get(call_id)
        if run is not None:
            self._attach(run, sender)
        return run is not None

    def submit(
        self,
        call: Call,
        sender: Sender,
        *,
        attach_only: bool = False,
    ) -> None:
        """Start a call that is not under way.

        Parameters
        ----------
        call : Call
            The call.
        sender : Sender
            Gets the outcome.
        attach_only : bool
            Whether the call must not be started.
        """
        error = self._objection(call.call_id, attach_only=attach_only)
        if error is not None:
            sender.refuse(call.call_id, error)
            return
        run = _Run(call, sender)
        self._runs[call.call_id] = run
        run.task = asyncio.create_task(self._run(run))

    def cancel(self, call_id: bytes, *, accepted: bool) -> bool:
        """Cancel a call that is unwanted; one that comes later never starts.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        accepted : bool
            Whether this node acknowledged the call to its sender.

        Returns
        -------
        bool
            False only if the call did not start and never will.
        """
        run = self._runs.get(call_id)
        if run is None:
            return self._cancel_unknown(call_id, accepted=accepted)
        if run.outcome is not None:
            _stop_body(run)
            return not isinstance(run.outcome, RefusedError)
        started = run.call.started
        self._end(run, OutcomeUnknownError('cancelled'))
        if not started:
            self._cancelled.add(call_id)
        return started

    def detach(self, sender: Sender) -> None:
        """Take a sender from its executions; they go on for `DETACHED_S`."""
        loop = asyncio.get_running_loop()
        for run in self._runs.values():
            if run.sender is sender:
                run.sender = None
                _stop_body(run)
                if run.outcome is None:
                    run.expiry = loop.call_later(
                        DETACHED_S,
                        self._expire,
                        run,
                    )

    async def close(self) -> None:
        """End all executions."""
        tasks = [run.task for run in self._runs.values() if run.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _objection(
        self,
        call_id: bytes,
        *,
        attach_only: bool,
    ) -> RequestError | None:
        """Say why a call that is not under way must not be started."""
        if call_id in self._cancelled:
            return CancelledRequestError()
        if attach_only or call_id in self._ended:
            return OutcomeUnknownError('the answer is no longer kept')
        if len(self._ended) + len(self._cancelled) >= MAX_REMEMBERED:
            return OverloadedError('too many calls are remembered')
        return None

    def _cancel_unknown(self, call_id: bytes, *, accepted: bool) -> bool:
        if call_id in self._cancelled:
            return False
        known = accepted or call_id in self._ended
        if known or len(self._cancelled) >= MAX_REMEMBERED:
            return True
        self._cancelled.add(call_id)
        return False

    def _attach(self, run: _Run, sender: Sender) -> None:
        run.sender = sender
        if run.expiry is not None:
            run.expiry.cancel()
            run.expiry = None
        call_id = run.call.call_id
        match run.outcome:
            case Answer(body=bytes()):
                run.task = asyncio.create_task(
                    sender.answer(call_id, run.outcome),
                )
            case Answer() if run.attached is not None:
                run.attached.set_result(None)
                run.attached = None
            case Answer():
                error = OutcomeUnknownError('the answer was being sent')
                sender.refuse(call_id, error)
            case RequestError():
                sender.refuse(call_id, run.outcome)

    async def _run(self, run: _Run) -> None:
        run.outcome = await self._outcome(run.call)
        run.call.body = b''
        match run.outcome:
            case Answer(body=bytes(body)):
                self._keep(run, len(body))
                if run.sender is not None:
                    await run.sender.answer(run.call.call_id, run.outcome)
            case Answer():
                await self._stream(run, run.outcome)
            case RequestError():
                self._keep(run, 0)
                if run.sender is not None:
                    run.sender.refuse(run.call.call_id, run.outcome)

    async def _outcome(self, call: Call) -> Answer | RequestError:
        try:
            return await self._execution.execute(call)
        except RequestError as error:
            return error
        except Exception as error:
            log.exception('A call failed.')
            return InternalRequestError(str(error))

    async def _stream(self, run: _Run, answer: Answer) -> None:
        """Send an answer whose body is streamed; it can be sent once."""
        try:
            if run.sender is None:
                run.attached = asyncio.get_running_loop().create_future()
                await run.attached
            if run.sender is not None:
                await run.sender.answer(run.call.call_id, answer)
        except OSError as error:
            log.debug('An answer was cut: {}.', error)
        finally:
            run.attached = None
            self._keep(run, 0)
            await close_stream(answer.body)

    def _keep(self, run: _Run, size: int) -> None:
        """Keep an outcome for a while, then only the id of its call."""
        if run.call.call_id not in self._runs:
            return
        now = asyncio.get_running_loop().time()
        self._replays.append((now + REPLAY_S, run.call.call_id, size))
        self._kept_bytes += size
        while self._replays and (
            self._replays[0][0] <= now or self._kept_bytes > REPLAY_BYTES
        ):
            _, call_id, freed = self._replays.popleft()
            self._kept_bytes -= freed
            self._forget(call_id)

    def _forget(self, call_id: bytes) -> None:
        if self._runs.pop(call_id, None) is not None:
            self._ended.add(call_id)

    def _expire(self, run: _Run) -> None:
        """End an execution to which nobody attached again."""
        if run.outcome is None and run.call.idempotency_key:
            return
        if run.outcome is None:
            self._end(run, OutcomeUnknownError('abandoned'))
        else:
            _stop_body(run)

    def _end(self, run: _Run, outcome: RequestError) -> None:
        """Cancel an execution that is under way."""
        run.outcome = outcome
        self._forget(run.call.call_id)
        if run.task is not None:
            run.task.cancel()


def _stop_body(run: _Run) -> None:
    """Stop to send an answer whose body is streamed."""
    match run.outcome:
        case Answer(body=bytes()):
            return
        case Answer() if run.task is not None:
            run.task.cancel()
