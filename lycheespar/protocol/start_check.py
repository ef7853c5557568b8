"""Checks whether a call started whose acknowledgement is overdue."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lycheespar.call import Answer
from lycheespar.errors import CancelledRequestError

# Cancels a call by its id unless it has started; returns whether it never will.
CancelElsewhere = Callable[[bytes], Awaitable[bool]]


class StartCheck:
    """Cancels a call over another channel, unless it has started.

    Used for a call with a streamed body, which can't be resent: it stays on its
    slow channel once it has started.

    Parameters
    ----------
    call_id : bytes
        Id of the call.
    answer : asyncio.Future[Answer]
        Fails with `CancelledRequestError` if the call was cancelled.
    cancel_elsewhere : CancelElsewhere
        Cancels the call over another channel.
    """

    __slots__ = ('_answer', '_call_id', '_cancel_elsewhere', '_task')

    def __init__(
        self,
        call_id: bytes,
        answer: asyncio.Future[Answer],
        cancel_elsewhere: CancelElsewhere,
    ) -> None:
        """Prepare a check; `start` begins it."""
        self._call_id = call_id
        self._answer = answer
        self._cancel_elsewhere = cancel_elsewhere
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to cancel the call."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End the check, as the call has ended."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        cancelled = await self._cancel_elsewhere(self._call_id)
        if cancelled and not self._answer.done():
            self._answer.set_exception(
                CancelledRequestError('the channel does not respond')
            )
