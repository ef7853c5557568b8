"""Questions on a channel for the load of the other node's target."""

from __future__ import annotations

import asyncio

from lycheespar.call import Load
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import AskLoad


class LoadQuestions:
    """Asks one question at a time; those who ask meanwhile share it.

    Parameters
    ----------
    connection : FrameConnection
        The connection.
    """

    __slots__ = ('_answer', '_connection', '_serial')

    def __init__(self, connection: FrameConnection) -> None:
        """Start without a question."""
        self._connection = connection
        self._answer: asyncio.Future[Load] | None = None
        self._serial = 0

    def ask(self) -> asyncio.Future[Load]:
        """Return the answer to come; cancelled if the channel is lost."""
        if self._answer is None or self._answer.done():
            self._answer = asyncio.get_running_loop().create_future()
            self._serial += 1
            self._connection.send(AskLoad(self._serial))
        return self._answer

    def take(self, serial: int, load: Load) -> None:
        """Take an answer, unless it is to an earlier question."""
        waiting = self._answer
        if serial == self._serial and waiting and not waiting.done():
            waiting.set_result(load)

    def cancel(self) -> None:
        """End the question that is open, as the channel is lost."""
        if self._answer is not None:
            self._answer.cancel()
