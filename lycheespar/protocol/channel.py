"""Calling side of the inner protocol: a channel to one node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from functools import partial
from typing import Final

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    ChannelClosedError,
    ChannelLostError,
    ChannelSilentError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    ProtocolError,
    RequestError,
    TruncatedAnswerError,
)
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.heartbeat import Heartbeat
from lycheespar.protocol.loads import LoadQuestions
from lycheespar.protocol.messages import (
    Accepted,
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    LoadReply,
    Message,
    Ping,
    Pong,
    Recall,
    Refused,
    ResponseHead,
)
from lycheespar.protocol.pending import Pending, PendingTable, request
from lycheespar.streams import GuardedStream

# Time in seconds for which a late call waits for the outcome of its
# cancellation.
CANCEL_REPLY_S: Final = 0.05
# The same for a call whose channel was lost.
RESOLVE_S: Final = 0.5


class Channel:
    """Multiplexed connection on which this node sends calls to another.

    Parameters
    ----------
    reader, writer
        The connection.
    peer : Hello
        First message of the other node.
    """

    __slots__ = (
        '_connection',
        '_heartbeat',
        '_loads',
        '_peer',
        '_pending',
        '_reader',
        '_retired',
        '_sending',
        '_task',
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        connection: FrameConnection,
        peer: Hello,
    ) -> None:
        """Start the tasks that read and watch the connection."""
        self._reader = reader
        self._connection = connection
        self._peer = peer
        self._retired = False
        self._loads = LoadQuestions(connection)
        self._pending = PendingTable(peer.clock_ms, self._retire)
        self._sending: dict[bytes, asyncio.Task[None]] = {}
        self._heartbeat = Heartbeat(
            connection,
            self._pending,
            self._give_up_silent,
        )
        self._task = asyncio.create_task(self._read())

    @property
    def usable(self) -> bool:
        """Whether calls may be sent on this channel."""
        lost = self._task.done() or self._connection.closing
        return not (lost or self._retired) and self._pending.fresh

    @property
    def incarnation(self) -> int:
        """Incarnation of the node at the other end."""
        return self._peer.incarnation

    async def execute(self, call: Call, *, attach_only: bool = False) -> Answer:
        """Send a call and wait for the head of its answer.

        Parameters
        ----------
        call : Call
            The call.
        attach_only : bool
            Whether the node acknowledged the call before; it then attaches
            to the execution and never starts another.

        Raises
        ------
        RefusedError
            The call was definitely not run.
        ChannelLostError
            The channel was lost; the call may have run.
        OutcomeUnknownError
            The call may have run.
        """
        if not self.usable:
            raise ChannelClosedError
        pending = self._pending.add(call.call_id)
        try:
            self._send_request(call, attach_only=attach_only)
            async with asyncio.timeout_at(call.deadline):
                answer = await pending.head
        except BaseException as error:
            self._stop_sending(call.call_id)
            if isinstance(error, TimeoutError):
                raise await self._withdraw(call.call_id, pending) from error
            if isinstance(error, asyncio.CancelledError):
                self._connection.send(Cancel(call.call_id, pending.accepted))
            raise
        finally:
            self._pending.drop(call.call_id)
        if isinstance(answer.body, bytes):
            self._stop_sending(call.call_id)
        return answer

    async def cancel(self, call_id: bytes, *, accepted: bool) -> bool:
        """Cancel a call that was sent on an earlier channel.

        Parameters
        ----------
        call_id : bytes
            Id of the call, which was sent at most `CANCEL_TRUST_S` ago.
        accepted : bool
            Whether the node acknowledged the call.

        Returns
        -------
        bool
            False only if the call did not start and never will.
        """
        pending = self._pending.add(call_id)
        pending.accepted = accepted
        try:
            return await self._cancel(call_id, pending, RESOLVE_S)
        finally:
            self._pending.drop(call_id)

    def ask_load(self) -> asyncio.Future[Load]:
        """Ask for the load of the other node's target at this instant.

        Those who ask while an answer is on its way share it. The future is
        cancelled if the channel is lost.
        """
        return self._loads.ask()

    async def recall(
        self,
        key: bytes,
        attempt: bytes,
        timeout_s: float,
    ) -> Answer:
        """Ask for the outcome of an idempotency key.

        Raises
        ------
        RequestError
            What the node knows instead of an answer.
        ChannelLostError
            The channel was lost.
        TimeoutError
            No reply came in time.
        """
        call_id = random.randbytes(len(attempt) or len(key))
        pending = self._pending.add(call_id)
        try:
            self._connection.send(Recall(call_id, key, attempt))
            async with asyncio.timeout(timeout_s):
                return await pending.head
        finally:
            self._pending.drop(call_id)

    async def close(self) -> None:
        """Close the channel; calls under way are lost."""
        self._connection.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _withdraw(self, call_id: bytes, pending: Pending) -> RequestError:
        """Cancel a call whose time is up; say how it ended."""
        if await self._cancel(call_id, pending, CANCEL_REPLY_S):
            return DeadlineExceededError()
        return DeadlineUnreachableError('cancelled before its start')

    async def _cancel(
        self,
        call_id: bytes,
        pending: Pending,
        timeout_s: float,
    ) -> bool:
        self._connection.send(Cancel(call_id, pending.accepted))
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.cancelled or not pending.trusted
        except TimeoutError:
            return True

    def _send_request(self, call: Call, *, attach_only: bool) -> None:
        self._connection.send(
            request(call, self._pending.clock_ms, attach_only=attach_only),
        )
        if not isinstance(call.body, bytes):
            self._sending[call.call_id] = asyncio.create_task(
                self._connection.send_body(
                    call.call_id,
                    call.body,
                    on_demand=True,
                ),
            )

    def _stop_sending(self, call_id: bytes) -> None:
        """Leave what is left of a request's body unread."""
        task = self._sending.pop(call_id, None)
        if task is not None:
            task.cancel()

    async def _read(self) -> None:
        """Take the messages of the peer until the connection ends."""
        try:
            while True:
                self._take(await read_frame(self._reader))
        except (OSError, EOFError, ProtocolError):
            return
        finally:
            self._heartbeat.stop()
            self._connection.close()
            self._lose(ChannelClosedError())

    def _take(self, message: Message) -> None:
        self._heartbeat.note()
        match message:
            case ResponseHead():
                self._take_head(message)
            case Accepted(call_id, clock_ms):
                self._pending.accept(call_id, clock_ms)
            case Refused():
                self._pending.refuse(message)
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.take_body_message(
                    message,
                    TruncatedAnswerError(),
                )
            case CancelResult(call_id, started):
                self._pending.cancelled(call_id, started=started)
            case LoadReply(serial, load):
                self._loads.take(serial, load)
            case Ping(serial):
                self._connection.send(Pong(serial))
            case Pong(_, clock_ms):
                self._pending.set_clock(clock_ms)
            case _:
                return

    def _take_head(self, head: ResponseHead) -> None:
        """Take an answer; a late or repeated one is dropped."""
        pending = self._pending.get(head.call_id)
        if pending is None or pending.head.done():
            return
        body = self._answer_body(head) if head.streamed else head.body
        pending.head.set_result(
            Answer(head.status, head.headers, body, head.load),
        )

    def _answer_body(self, head: ResponseHead) -> AsyncIterator[bytes]:
        """Return the body; cancel the call if its consumer leaves early."""
        receiver = self._connection.open_receiver(head.call_id)
        self._heartbeat.enter()
        return GuardedStream(
            aiter(receiver),
            partial(self._cancel_unread, head.call_id),
        )

    def _cancel_unread(self, call_id: bytes, whole: bool) -> None:
        self._heartbeat.leave()
        self._stop_sending(call_id)
        if not whole:
            self._connection.forget(call_id)
            self._connection.send(Cancel(call_id))

    def _retire(self) -> None:
        """Take no new calls; what makes progress here goes on to its end."""
        self._retired = True
        self._heartbeat.retire()

    def _give_up_silent(self) -> None:
        """Abandon the connection: its peer does not answer on it."""
        self._connection.abort()
        self._lose(ChannelSilentError())

    def _lose(self, error: ChannelLostError) -> None:
        """End all calls under way; each may have run."""
        self._pending.lose(error)
        self._loads.cancel()
        self._connection.fail_bodies(TruncatedAnswerError('channel lost'))
