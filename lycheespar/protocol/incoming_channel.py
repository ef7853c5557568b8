"""Serving side of one channel, which another node has opened."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Final

from msgspec.structs import replace

from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.key_records import KeyRecords
from lycheespar.call import Answer, Call, Load
from lycheespar.errors import BadRequestError, ProtocolError, RequestError
from lycheespar.protocol.channel_limits import ChannelLimits
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
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
    LoadRequest,
    Message,
    OutcomeQuery,
    Ping,
    Pong,
    Refused,
    Request,
)
from lycheespar.protocol.quota_grants import (
    QuotaGrants,
    handle_quota_message,
)
from lycheespar.telemetry.error_events import ChannelRejected
from lycheespar.telemetry.event_log import events

# Age in milliseconds past which a request no longer starts a call, as it may be
# a late copy. Senders resend calls for `RESEND_PERIOD_S`; the sum of both times
# must stay below the time for which the ids of calls are remembered.
MAX_REQUEST_AGE_MS: Final = 15_000
MS_PER_S: Final = 1000
# Longest time in seconds from the opening of a channel to its `Hello`, and the
# largest payload of that frame.
HELLO_TIMEOUT_S: Final = 5
MAX_HELLO_BYTES: Final = 4096
# Messages that are handled before other channels get their turn.
MESSAGES_PER_TURN: Final = 16


class IncomingChannel:
    """Receives calls on a channel that another node has opened.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writing end of the connection.
    executions : CallTable
        Starts each call at most once.
    load : Callable[[], Load]
        Returns the load of the local target.
    records : KeyRecords
        Outcomes of idempotency keys.
    quotas : QuotaGrants
        Quotas that this node owns.
    limits : ChannelLimits
        Limits that all channels of the server share.

    Attributes
    ----------
    last_message_at : float
        Time at which the last message arrived, in seconds on the event loop's
        clock.
    """

    __slots__ = (
        '_connection',
        '_executions',
        '_limits',
        '_load',
        '_loop',
        '_quotas',
        '_records',
        'last_message_at',
    )

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        executions: CallTable,
        load: Callable[[], Load],
        records: KeyRecords,
        quotas: QuotaGrants,
        limits: ChannelLimits,
    ) -> None:
        """Wrap an open connection; `run` serves it."""
        self._limits = limits
        self._quotas = quotas
        self._connection = FrameConnection(writer)
        self._executions = executions
        self._load = load
        self._records = records
        self._loop = asyncio.get_running_loop()
        self.last_message_at = self._loop.time()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that the peer has not taken."""
        return self._connection.unsent_bytes

    def finish(self) -> None:
        """Send what is buffered, then close once the other node has."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the channel at once and discard its buffer."""
        self._connection.abort()

    async def wait_closed(self, until: float) -> None:
        """Close the channel once its bytes have arrived, at a time at last."""
        await self._connection.wait_closed(until)

    async def run(self, reader: asyncio.StreamReader, hello: Hello) -> None:
        """Handle messages until the channel ends, then detach its calls."""
        self._connection.send(replace(hello, clock_ms=self._clock_ms()))
        try:
            await self._read_hello(reader)
            await self._read_messages(reader)
        except ProtocolError as error:
            events.write(ChannelRejected(error.code))
        except (OSError, EOFError):
            return
        except Exception as error:  # reported with the calls that it ends
            self._connection.report_unhandled(
                error, self._executions.request_ids(self)
            )
        finally:
            self._connection.close()
            self._connection.fail_bodies(BadRequestError('channel lost'))
            self._executions.detach(self)

    async def answer(self, call_id: bytes, answer: Answer) -> None:
        """Send the answer to a call, including a streamed body."""
        body = answer.body
        inline = isinstance(body, bytes)
        self._connection.send(
            AnswerHead(
                call_id,
                answer.status,
                answer.headers,
                answer.load,
                body if isinstance(body, bytes) else b'',
                not inline,
            ),
        )
        if not isinstance(body, bytes):
            await self._connection.send_body(call_id, body)
        self._connection.drop_receiver(call_id)

    def refuse(self, call_id: bytes, error: RequestError) -> None:
        """Send the error with which a call ended."""
        self._connection.drop_receiver(call_id)
        self._connection.send(
            Refused(
                call_id,
                error.code,
                error.detail,
                error.retry_after_s,
                self._load(),
            ),
        )

    def end_body(self, call_id: bytes) -> None:
        """Fail the body of a request unless all of it has arrived."""
        self._connection.fail_body(call_id, BadRequestError('channel lost'))

    async def _read_hello(self, reader: asyncio.StreamReader) -> None:
        """Read the first message, which must be a `Hello`.

        Raises
        ------
        ProtocolError
            The message is another one.
        TimeoutError
            No message arrived in time.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            message = await read_frame(reader, MAX_HELLO_BYTES)
        if not isinstance(message, Hello):
            raise ProtocolError('first message is not a Hello')
        self.last_message_at = self._loop.time()
        self._limits.identify(self)

    async def _read_messages(self, reader: asyncio.StreamReader) -> None:
        """Handle messages until the channel ends.

        Reading pauses while the peer does not take replies, and now and then
        for the other channels.
        """
        begin = partial(self._limits.begin_frame, self)
        for count in itertools.count(1):
            message = await read_frame(reader, begin=begin)
            self._limits.end_frame(self)
            self.last_message_at = self._loop.time()
            if not self._connection.closing:
                self._handle_message(message)
            if self._limits.must_pause(self):
                await self._connection.drain()
            if count % MESSAGES_PER_TURN == 0:
                await asyncio.sleep(0)

    def _clock_ms(self) -> int:
        return int(self._loop.time() * MS_PER_S)

    def _handle_message(self, message: Message) -> None:
        match message:
            case Request():
                self._handle_request(message)
            case Cancel(call_id, accepted, unless_started):
                started = self._executions.cancel(
                    call_id, accepted=accepted, unless_started=unless_started
                )
                self._connection.drop_receiver(call_id)
                self._connection.send(CancelResult(call_id, started))
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.handle_body_message(
                    message,
                    BadRequestError('the request body is incomplete'),
                )
            case OutcomeQuery():
                self._send_key_outcome(message)
            case Ping(serial):
                self._connection.send(Pong(serial, self._clock_ms()))
            case LoadRequest(serial):
                self._connection.send(LoadReply(serial, self._load()))
            case _:
                handle_quota_message(message, self._quotas, self._connection)

    def _send_key_outcome(self, query: OutcomeQuery) -> None:
        """Send the recorded outcome of an idempotency key."""
        match self._records.recall(query.key, query.attempt):
            case Answer(status, headers, bytes(body), load):
                self._connection.send(
                    AnswerHead(
                        query.call_id,
                        status,
                        headers,
                        load,
                        body,
                        streamed=False,
                    ),
                )
            case RequestError() as error:
                self.refuse(query.call_id, error)

    def _handle_request(self, request: Request) -> None:
        clock_ms = self._clock_ms()
        self._connection.send(Accepted(request.call_id, clock_ms))
        if self._executions.attach(request.call_id, self):
            return
        late = clock_ms - request.echoed_clock_ms > MAX_REQUEST_AGE_MS
        self._executions.submit(
            self._build_call(request),
            self,
            attach_only=request.attach_only or late,
        )

    def _open_request_body(self, call_id: bytes) -> AsyncIterator[bytes]:
        receiver = self._connection.open_receiver(call_id, on_demand=True)
        return aiter(receiver)

    def _build_call(self, request: Request) -> Call:
        now = self._loop.time()
        objective_s = request.objective_ms / MS_PER_S
        return Call(
            call_id=request.call_id,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=(
                self._open_request_body(request.call_id)
                if request.streamed
                else request.body
            ),
            request_class=request.request_class,
            weight=request.weight,
            idempotent=request.idempotent,
            deadline=now + request.budget_ms / MS_PER_S,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
            traceparent=request.traceparent,
            request_id=request.request_id,
            objective_at=now + objective_s if objective_s else 0,
        )
