"""Serving side of the inner protocol: runs calls that other nodes send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheespar.call import Answer, Call, Execution, Load
from lycheespar.errors import (
    BadRequestError,
    ProtocolError,
    RequestError,
)
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.messages import (
    Accepted,
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Cancel,
    Hello,
    Message,
    Ping,
    Pong,
    Refused,
    Request,
    ResponseHead,
)


class ChannelServer:
    """Accepts channels of other nodes.

    Parameters
    ----------
    execution : Execution
        Runs the calls at the local target.
    load : Callable[[], Load]
        Gives the load of the local target, sent with each refusal.
    hello : Hello
        Who this node is.
    """

    __slots__ = ('_execution', '_hello', '_load', '_peers', '_server')

    def __init__(
        self,
        execution: Execution,
        load: Callable[[], Load],
        hello: Hello,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._execution = execution
        self._load = load
        self._hello = hello
        self._peers: set[ChannelPeer] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Close the port and all channels, once their bytes are sent."""
        if self._server is not None:
            self._server.close()
        peers = tuple(self._peers)
        for peer in peers:
            peer.close()
        await asyncio.gather(*(closed.wait_closed() for closed in peers))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = ChannelPeer(writer, self._execution, self._load)
        self._peers.add(peer)
        try:
            await peer.run(reader, self._hello)
        finally:
            self._peers.discard(peer)


class ChannelPeer:
    """One channel that another node has opened.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writing end of the connection.
    execution : Execution
        Runs the calls.
    load : Callable[[], Load]
        Gives the load of the local target.
    """

    __slots__ = ('_calls', '_connection', '_execution', '_load')

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        execution: Execution,
        load: Callable[[], Load],
    ) -> None:
        """Wrap the connection."""
        self._connection = FrameConnection(writer)
        self._execution = execution
        self._load = load
        self._calls: dict[bytes, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Close the channel."""
        self._connection.close()

    async def wait_closed(self) -> None:
        """Wait until the channel is closed and its bytes are sent."""
        await self._connection.wait_closed()

    async def run(self, reader: asyncio.StreamReader, hello: Hello) -> None:
        """Serve the channel until it ends; its calls are then cancelled."""
        self._connection.send(hello)
        try:
            while True:
                self._take(await read_frame(reader))
        except (OSError, EOFError, ProtocolError):
            return
        finally:
            self._connection.close()
            self._connection.fail_bodies(BadRequestError('channel lost'))
            for task in self._calls.values():
                task.cancel()

    def _take(self, message: Message) -> None:
        match message:
            case Request():
                self._start(message)
            case Cancel(call_id):
                if (task := self._calls.get(call_id)) is not None:
                    task.cancel()
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.take_body_message(
                    message,
                    BadRequestError('the body of the request was cut'),
                )
            case Ping(serial):
                self._connection.send(Pong(serial))
            case _:
                return

    def _start(self, request: Request) -> None:
        self._connection.send(Accepted(request.call_id))
        task = asyncio.create_task(self._run_call(self._call(request)))
        self._calls[request.call_id] = task

    def _call(self, request: Request) -> Call:
        loop = asyncio.get_running_loop()
        return Call(
            call_id=request.call_id,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=(
                aiter(self._connection.open_receiver(request.call_id))
                if request.streamed
                else request.body
            ),
            request_class=request.request_class,
            weight=request.weight,
            idempotent=request.idempotent,
            deadline=loop.time() + request.budget_ms / 1000,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
            traceparent=request.traceparent,
        )

    async def _run_call(self, call: Call) -> None:
        try:
            await self._send_answer(
                call.call_id,
                await self._execution.execute(call),
            )
        except RequestError as error:
            self._connection.send(
                Refused(
                    call.call_id,
                    error.code,
                    error.detail,
                    error.retry_after_s,
                    self._load(),
                ),
            )
        finally:
            self._calls.pop(call.call_id, None)
            self._connection.forget(call.call_id)

    async def _send_answer(self, call_id: bytes, answer: Answer) -> None:
        body = answer.body
        whole = isinstance(body, bytes)
        self._connection.send(
            ResponseHead(
                call_id,
                answer.status,
                answer.headers,
                answer.load,
                body if isinstance(body, bytes) else b'',
                not whole,
            ),
        )
        if not isinstance(body, bytes):
            await self._connection.send_body(call_id, body)
