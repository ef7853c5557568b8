"""Request-reply links to control hosts over ZeroMQ.

A serial number matches each reply to its request.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, Final, Generic, TypeVar

import msgspec
import zmq
import zmq.asyncio
from loguru import logger

from lycheespar.background import is_cancelled_by_owner, start_background
from lycheespar.errors import LycheesparError
from lycheespar.settings.options import Address

# ZeroMQ heartbeats: interval, and silence after which a connection is closed.
HEARTBEAT_MS: Final = 500
HEARTBEAT_TIMEOUT_MS: Final = 1500
# Time-out of opening a connection, and of its handshake.
OPEN_TIMEOUT_MS: Final = 1500
# Bounds of the backoff between reconnections.
RECONNECT_MS: Final = 50
RECONNECT_MAX_MS: Final = 1000
_SERIAL_BYTES: Final = 8
# Largest request, in bytes: the state of a group, sent to a new control host.
MAX_REQUEST_BYTES: Final = 12 * 1024 * 1024

RequestType = TypeVar('RequestType')
ReplyType = TypeVar('ReplyType')

log = logger.bind(part='control')


class LinkError(LycheesparError):
    """No reply came over a link; the request may still be executed."""

    code = 'link_error'


class LinkTimeoutError(LinkError):
    """The control host did not reply in time."""

    code = 'link_timeout'


class LinkClosedError(LinkError):
    """The link was closed before the reply came."""

    code = 'link_closed'


def _configure_socket(socket: zmq.asyncio.Socket) -> None:
    """Detect dead connections by heartbeats; never block on close.

    Messages that are still queued on close are discarded.
    """
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.set(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
    socket.set(zmq.CONNECT_TIMEOUT, OPEN_TIMEOUT_MS)
    socket.set(zmq.HANDSHAKE_IVL, OPEN_TIMEOUT_MS)


class ControlLink(Generic[RequestType, ReplyType]):
    """Client link that sends requests to one control host.

    Parameters
    ----------
    context : zmq.asyncio.Context
        ZeroMQ context of the process.
    address : Address
        Address of the control host.
    reply_type : Any
        Type, or union of types, of the replies.

    Attributes
    ----------
    address : Address
        Address of the control host.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: Address,
        reply_type: Any,
    ) -> None:
        """Start connecting in the background and reading replies."""
        self.address = address
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[ReplyType] = (
            msgspec.msgpack.Decoder(reply_type)
        )
        self._socket = context.socket(zmq.DEALER)
        _configure_socket(self._socket)
        # Don't queue requests while disconnected: they would arrive too late.
        self._socket.set(zmq.IMMEDIATE, 1)
        self._socket.set(zmq.RECONNECT_IVL, RECONNECT_MS)
        self._socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self._socket.connect(f'tcp://{address}')
        self._pending: dict[bytes, asyncio.Future[ReplyType]] = {}
        self._serial = itertools.count()
        self._reader = start_background('link reader', self._read)

    @property
    def connected(self) -> bool:
        """Whether a request can be sent at once."""
        if self._socket.closed:
            return False
        return bool(int(self._socket.get(zmq.EVENTS)) & zmq.POLLOUT)

    async def ask(
        self, request: RequestType, timeout_s: float | None
    ) -> ReplyType:
        """Send a request and wait for its reply.

        Parameters
        ----------
        request : RequestType
            The request.
        timeout_s : float | None
            Time-out in seconds; None for none.

        Raises
        ------
        LinkError
            No reply came in time, or the link was closed; the request may
            still be executed.
        """
        if self._socket.closed:
            raise LinkClosedError
        serial = next(self._serial).to_bytes(_SERIAL_BYTES)
        reply: asyncio.Future[ReplyType] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[serial] = reply
        try:
            async with asyncio.timeout(timeout_s):
                await self._socket.send_multipart(
                    (serial, self._encoder.encode(request)),
                )
                return await reply
        except TimeoutError as error:
            raise LinkTimeoutError from error
        except asyncio.CancelledError as error:
            if self._socket.closed and not is_cancelled_by_owner():
                raise LinkClosedError from error
            raise
        finally:
            self._pending.pop(serial, None)

    def close(self) -> None:
        """Close the link; pending requests fail with `LinkClosedError`."""
        self._reader.cancel()
        # This cancels the futures of messages that wait for the connection.
        self._socket.close()
        for reply in self._pending.values():
            reply.cancel()

    async def _read(self) -> None:
        while True:
            serial, payload = await self._socket.recv_multipart()
            reply = self._pending.get(serial)
            if reply is None or reply.done():
                continue
            try:
                reply.set_result(self._decoder.decode(payload))
            except (msgspec.DecodeError, RecursionError) as error:
                log.warning("Can't decode a control host's reply: {}.", error)


class LinkServer(Generic[RequestType, ReplyType]):
    """Server that answers requests from any number of links.

    Parameters
    ----------
    context : zmq.asyncio.Context
        ZeroMQ context of the process.
    request_type : Any
        Type, or union of types, of the requests.
    handle : Callable
        Coroutine function that returns the reply to a request.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        request_type: Any,
        handle: Callable[[RequestType], Awaitable[ReplyType]],
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[RequestType] = (
            msgspec.msgpack.Decoder(request_type)
        )
        self._handle = handle
        self._socket = context.socket(zmq.ROUTER)
        _configure_socket(self._socket)
        self._socket.set(zmq.MAXMSGSIZE, MAX_REQUEST_BYTES)
        self._tasks: set[asyncio.Task[None]] = set()
        self._reader: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        self._socket.bind(f'tcp://{address}')
        self._reader = start_background('link reader', self._read)

    def close(self) -> None:
        """Close the port; pending requests get no reply."""
        if self._reader is not None:
            self._reader.cancel()
        for task in self._tasks:
            task.cancel()
        self._socket.close()

    async def _read(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3:
                continue
            try:
                request = self._decoder.decode(frames[2])
            except (msgspec.DecodeError, RecursionError) as error:
                log.warning("Can't decode a request: {}.", error)
                continue
            task = asyncio.create_task(
                self._handle_and_reply(frames[0], frames[1], request),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _handle_and_reply(
        self,
        sender: bytes,
        serial: bytes,
        request: RequestType,
    ) -> None:
        reply = await self._handle(request)
        await self._socket.send_multipart(
            (sender, serial, self._encoder.encode(reply)),
        )
