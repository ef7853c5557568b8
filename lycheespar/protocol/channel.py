"""Calling side of the protocol between nodes: a channel to one node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from functools import partial
from typing import Final

from loguru import logger

from lycheespar.answer_head import check_head
from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    ChannelClosedError,
    ChannelLostError,
    ChannelUnresponsiveError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    InvalidAnswerError,
    ProtocolError,
    RequestError,
    TruncatedAnswerError,
)
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.delivery import Delivery
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.heartbeat import Heartbeat
from lycheespar.protocol.load_queries import LoadQueries
from lycheespar.protocol.messages import (
    Accepted,
    AnswerHead,
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    LoadReply,
    Message,
    OutcomeQuery,
    Ping,
    Pong,
    QuotaReply,
    Refused,
)
from lycheespar.protocol.overdue import OverdueCheck
from lycheespar.protocol.pending import PendingCall, PendingCalls, build_request
from lycheespar.protocol.quota_requests import QuotaRequests
from lycheespar.protocol.start_check import CancelElsewhere
from lycheespar.quotas.grant import QuotaGrant
from lycheespar.streams import GuardedStream
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import AnswerRejected

# Time in seconds to wait for the `CancelResult` of a call whose deadline has
# passed.
CANCEL_TIMEOUT_S: Final = 0.05
# Time in seconds to wait for the `CancelResult` of a call whose channel was
# lost.
LOST_CANCEL_TIMEOUT_S: Final = 0.5

log = logger.bind(part='protocol')


class Channel:
    """Multiplexed connection on which this node sends calls to another.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Reading end of the connection.
    connection : FrameConnection
        Writing end of the connection.
    peer : Hello
        First message of the other node.

    Attributes
    ----------
    quotas : QuotaRequests
        Requests for calls of quotas that the other node owns.
    """

    __slots__ = (
        '_body_tasks',
        '_connection',
        '_heartbeat',
        '_load_queries',
        '_peer_hello',
        '_pending',
        '_reader',
        '_reader_task',
        '_retired',
        'quotas',
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        connection: FrameConnection,
        peer: Hello,
    ) -> None:
        """Start the tasks that read and monitor the connection."""
        self._reader = reader
        self._connection = connection
        self._peer_hello = peer
        self._retired = False
        self._load_queries = LoadQueries(connection)
        self.quotas = QuotaRequests(connection)
        self._pending = PendingCalls(peer.clock_ms, self._retire)
        self._body_tasks: dict[bytes, asyncio.Task[bool]] = {}
        self._heartbeat = Heartbeat(
            connection,
            self._pending,
            self._abort_silent,
        )
        self._reader_task = asyncio.create_task(self._read_messages())

    @property
    def usable(self) -> bool:
        """Whether calls may be sent on this channel."""
        lost = self._reader_task.done() or self._connection.closing
        return not (lost or self._retired) and self._pending.clock_fresh

    @property
    def incarnation(self) -> int:
        """Incarnation of the node at the other end."""
        return self._peer_hello.incarnation

    async def execute(
        self,
        call: Call,
        *,
        attach_only: bool = False,
        cancel_elsewhere: CancelElsewhere | None = None,
    ) -> Answer:
        """Send a call and wait for the head of its answer.

        Parameters
        ----------
        call : Call
            The call.
        attach_only : bool
            Whether the node has acknowledged the call before. It then only
            attaches to the existing execution and starts none.
        cancel_elsewhere : CancelElsewhere | None
            Cancels the call over another channel unless it has started. Used
            for a call that can't be resent, if it is not acknowledged in time;
            a call that has started stays on this channel.

        Raises
        ------
        RefusedError
            The call was not run.
        ChannelLostError
            The channel was lost; the call may have run.
        OutcomeUnknownError
            The call may have run.
        """
        if not self.usable:
            raise ChannelClosedError
        pending = self._pending.add(
            call.call_id, call.request_id, cancel_elsewhere
        )
        pending.deadline = call.deadline
        answer: Answer | None = None
        try:
            self._send_request(call, attach_only=attach_only)
            pending.delivery = Delivery(self._connection)
            async with asyncio.timeout_at(call.deadline):
                answer = await pending.answer
        except ChannelLostError as error:
            error.body_sent = self._stop_sending_body(call.call_id)
            raise
        except TimeoutError as error:
            self._stop_sending_body(call.call_id)
            raise await self._cancel_expired(call.call_id, pending) from error
        except asyncio.CancelledError:
            self._connection.send(Cancel(call.call_id, pending.accepted))
            raise
        finally:
            self._pending.remove(call.call_id)
            if answer is None or isinstance(answer.body, bytes):
                self._stop_sending_body(call.call_id)
        return answer

    async def cancel(
        self, call_id: bytes, *, accepted: bool, unless_started: bool = False
    ) -> bool:
        """Cancel a call that was sent on an earlier channel.

        Parameters
        ----------
        call_id : bytes
            Id of the call, which was sent at most `RELIABLE_CANCEL_S` ago.
        accepted : bool
            Whether the node has acknowledged the call.
        unless_started : bool
            Whether a call that has started runs on.

        Returns
        -------
        bool
            False only if the call did not start and never will.
        """
        pending = self._pending.add(call_id)
        pending.accepted = accepted
        try:
            return await self._cancel(
                call_id,
                pending,
                LOST_CANCEL_TIMEOUT_S,
                unless_started=unless_started,
            )
        finally:
            self._pending.remove(call_id)

    def query_load(self) -> asyncio.Future[Load]:
        """Ask for the current load of the other node's target.

        Concurrent queries share one request and its reply. The future is
        cancelled if the channel is lost.
        """
        return self._load_queries.query()

    async def query_outcome(
        self,
        key: bytes,
        attempt: bytes,
        timeout_s: float,
    ) -> Answer:
        """Ask for the outcome of an idempotency key.

        Raises
        ------
        RequestError
            The node has no answer for the key; the error tells why.
        ChannelLostError
            The channel was lost.
        TimeoutError
            No reply arrived in time.
        """
        call_id = random.randbytes(len(attempt) or len(key))
        pending = self._pending.add(call_id)
        try:
            self._connection.send(OutcomeQuery(call_id, key, attempt))
            async with asyncio.timeout(timeout_s):
                return await pending.answer
        finally:
            self._pending.remove(call_id)

    async def close(self) -> None:
        """Close the channel; pending calls fail with `ChannelClosedError`."""
        self._connection.close()
        self._reader_task.cancel()
        await asyncio.gather(self._reader_task, return_exceptions=True)

    async def _cancel_expired(
        self, call_id: bytes, pending: PendingCall
    ) -> RequestError:
        """Cancel a call whose deadline has passed; return its error."""
        if await self._cancel(call_id, pending, CANCEL_TIMEOUT_S):
            return DeadlineExceededError()
        return DeadlineUnreachableError(
            'the call was cancelled before it started'
        )

    async def _cancel(
        self,
        call_id: bytes,
        pending: PendingCall,
        timeout_s: float,
        *,
        unless_started: bool = False,
    ) -> bool:
        self._connection.send(Cancel(call_id, pending.accepted, unless_started))
        try:
            async with asyncio.timeout(timeout_s):
                return (
                    await pending.cancel_result or not pending.cancel_reliable
                )
        except TimeoutError:
            return True

    def _send_request(self, call: Call, *, attach_only: bool) -> None:
        self._connection.send(
            build_request(
                call, self._pending.clock_ms, attach_only=attach_only
            ),
        )
        if not (attach_only or isinstance(call.body, bytes)):
            self._body_tasks[call.call_id] = asyncio.create_task(
                self._connection.send_body(
                    call.call_id,
                    call.body,
                    on_demand=True,
                ),
            )

    def _stop_sending_body(self, call_id: bytes) -> bool:
        """Stop sending a streamed body; return whether it was written."""
        task = self._body_tasks.pop(call_id, None)
        if task is None:
            return True
        if task.done():
            return not task.cancelled() and task.result()
        task.cancel()
        return False

    async def _read_messages(self) -> None:
        """Handle the messages of the other node until the connection ends."""
        try:
            while True:
                self._handle_message(
                    await read_frame(
                        self._reader,
                        on_received=self._connection.count_received,
                    )
                )
        except (OSError, EOFError, ProtocolError):
            return
        except Exception as error:  # reported with the calls that it ends
            self._connection.report_unhandled(error, self._pending.request_ids)
        finally:
            self._heartbeat.stop()
            self._connection.close()
            self._fail_all(ChannelClosedError())

    def _handle_message(self, message: Message) -> None:
        match message:
            case AnswerHead():
                self._handle_answer_head(message)
            case Accepted(call_id, clock_ms):
                self._pending.acknowledge(call_id, clock_ms)
            case Refused():
                self._pending.fail(message)
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.handle_body_message(
                    message,
                    TruncatedAnswerError(),
                )
            case CancelResult(call_id, started):
                self._pending.resolve_cancel(call_id, started=started)
            case LoadReply(serial, load):
                self._load_queries.resolve(serial, load)
            case QuotaReply(serial, wait_s, run_share):
                self.quotas.resolve(serial, QuotaGrant(wait_s, run_share))
            case Ping(serial):
                self._connection.send(Pong(serial))
            case Pong(_, clock_ms):
                self._pending.update_clock(clock_ms)
            case _:
                return

    def _handle_answer_head(self, head: AnswerHead) -> None:
        """Complete a pending call; drop a late or repeated answer.

        A node of an earlier version passes on any head of a target.
        """
        pending = self._pending.get(head.call_id)
        if pending is None or pending.answer.done():
            return
        try:
            check_head(head.status, head.headers)
        except InvalidAnswerError as error:
            node = self._peer_hello.node
            events.write(AnswerRejected(pending.request_id, node, error.detail))
            if head.streamed:
                self._connection.send(Cancel(head.call_id))
            pending.answer.set_exception(error)
            return
        body = (
            self._answer_body(head.call_id, pending.deadline)
            if head.streamed
            else head.body
        )
        pending.answer.set_result(
            Answer(head.status, head.headers, body, head.load),
        )

    def _answer_body(
        self, call_id: bytes, deadline: float
    ) -> AsyncIterator[bytes]:
        """Return a streamed body; closing it early cancels the call."""
        receiver = self._connection.open_receiver(call_id)
        self._heartbeat.body_started()
        overdue = OverdueCheck(receiver, self._connection, deadline)
        return GuardedStream(
            aiter(receiver),
            partial(self._end_answer_body, call_id, overdue),
        )

    def _end_answer_body(
        self, call_id: bytes, overdue: OverdueCheck, complete: bool
    ) -> None:
        overdue.stop()
        self._heartbeat.body_ended()
        self._stop_sending_body(call_id)
        if not complete:
            self._connection.drop_receiver(call_id)
            self._connection.send(Cancel(call_id))

    def _retire(self) -> None:
        """Accept no new calls; those that make progress run to their end."""
        self._retired = True
        self._heartbeat.retire()

    def _abort_silent(self) -> None:
        """Abort the connection, as the other node does not respond on it."""
        log.warning(
            "The channel to node '{}' is silent, {} calls end on it.",
            self._peer_hello.node,
            len(self._pending),
        )
        self._connection.abort()
        self._fail_all(ChannelUnresponsiveError())

    def _fail_all(self, error: ChannelLostError) -> None:
        """Fail all pending calls, load queries and streamed bodies."""
        self._pending.fail_all(error)
        self._load_queries.cancel()
        self.quotas.fail_all()
        self._connection.fail_bodies(TruncatedAnswerError('channel lost'))
