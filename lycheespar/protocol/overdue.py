"""Ends streamed answers whose sender is silent after the call's deadline."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from lycheespar.errors import DeadlineExceededError
from lycheespar.protocol.body import BodyReceiver

# Time in seconds after the deadline in which the other node must send
# something. It ends bodies at the deadline itself, so that its silence means
# that it is frozen or cut off.
GRACE_S: Final = 0.4


class _ByteCounter(Protocol):
    """A connection that counts the bytes it has received."""

    received_bytes: int


class OverdueCheck:
    """Fails a streamed body if the other node is silent past its deadline.

    A body that the caller is slow to read may be whole at the other node, so
    it goes on as long as the other node sends anything.

    Parameters
    ----------
    receiver : BodyReceiver
        Receives the body.
    connection : _ByteCounter
        Connection on which it is received.
    deadline : float
        Deadline of the call in seconds on the event loop's clock.
    """

    __slots__ = ('_connection', '_received', '_receiver', '_timer')

    def __init__(
        self,
        receiver: BodyReceiver,
        connection: _ByteCounter,
        deadline: float,
    ) -> None:
        """Begin to check at the deadline."""
        self._receiver = receiver
        self._connection = connection
        self._received = -1
        self._timer = asyncio.get_running_loop().call_at(deadline, self._check)

    def stop(self) -> None:
        """Stop checking, as the body has ended."""
        self._timer.cancel()

    def _check(self) -> None:
        received = self._connection.received_bytes
        if received == self._received and self._receiver.waits_for_sender:
            self._receiver.fail(DeadlineExceededError())
            return
        self._received = received
        self._timer = asyncio.get_running_loop().call_later(
            GRACE_S, self._check
        )
