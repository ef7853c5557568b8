"""Serving side of ZMTP 3.1, the protocol of ZeroMQ, within bounds.

Accepts connections of DEALER sockets without authentication. ZeroMQ's own
server sockets bound neither the parts of a message nor the connections, and
end the process if a connection fails while its messages wait to be read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from lycheespar.errors import ProtocolError

# Bytes of a command, such as a heartbeat.
MAX_COMMAND_BYTES: Final = 512
# Parts of a message: a serial number and a payload.
MESSAGE_PARTS: Final = 2
MAX_SERIAL_BYTES: Final = 64
_MORE: Final = 1
_LONG: Final = 2
_COMMAND: Final = 4
_SIGNATURE_BYTES: Final = 10
_GREETING_BYTES: Final = 64
_GREETING: Final = b''.join(
    (
        b'\xff',
        bytes(8),
        b'\x7f\x03\x01',
        b'NULL'.ljust(20, b'\0'),
        bytes(32),
    )
)
_READY: Final = b'\x05READY\x0bSocket-Type\0\0\0\x06ROUTER\x08Identity\0\0\0\0'
_PING: Final = b'\x04PING'
_PONG: Final = b'\x04PONG'
_PING_HEAD_BYTES: Final = len(_PING) + 2
_LONG_SIZE_BYTES: Final = 8
_SHORT_BYTES: Final = 255


class LinkProtocolError(ProtocolError):
    """A peer of a link broke the protocol of ZeroMQ, or a limit."""

    code = 'link_protocol'


class Frame:
    """Part of a message, or a command."""

    __slots__ = ('content', 'has_more', 'is_command')

    def __init__(self, flags: int, content: bytes) -> None:
        """Create a frame with the flags that were received."""
        self.is_command = bool(flags & _COMMAND)
        self.has_more = bool(flags & _MORE)
        self.content = content


def encode_message(*parts: bytes) -> bytes:
    """Encode a message."""
    *first, last = parts
    encoded = [_encode_frame(_MORE, part) for part in first]
    return b''.join((*encoded, _encode_frame(0, last)))


def _encode_frame(flags: int, content: bytes) -> bytes:
    size = len(content)
    if size > _SHORT_BYTES:
        head = bytes([flags | _LONG]) + size.to_bytes(_LONG_SIZE_BYTES)
    else:
        head = bytes([flags, size])
    return head + content


def answer_command(command: bytes) -> bytes:
    """Return the reply to a command; empty if it needs none."""
    if command.startswith(_PING):
        return _encode_frame(_COMMAND, _PONG + command[_PING_HEAD_BYTES:])
    return b''


async def greet(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Exchange greetings and handshakes.

    Raises
    ------
    LinkProtocolError
        The peer speaks another protocol, or wants authentication.
    asyncio.IncompleteReadError
        The connection ended.
    """
    writer.write(_GREETING)
    greeting = await reader.readexactly(_SIGNATURE_BYTES)
    if greeting[:1] != _GREETING[:1] or greeting[-1:] != b'\x7f':
        raise LinkProtocolError('the peer does not speak ZMTP')
    greeting += await reader.readexactly(_GREETING_BYTES - _SIGNATURE_BYTES)
    if greeting[_SIGNATURE_BYTES] < 3 or greeting[12:32] != _GREETING[12:32]:
        raise LinkProtocolError('the version or mechanism is not supported')
    writer.write(_encode_frame(_COMMAND, _READY))
    ready = await read_frame(reader, MAX_COMMAND_BYTES)
    if not ready.is_command or not ready.content.startswith(b'\x05READY'):
        raise LinkProtocolError('the handshake is not valid')


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int,
    begin: Callable[[int], None] | None = None,
) -> Frame:
    """Read one frame.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Reading end of the connection.
    max_bytes : int
        Largest size of a part of a message.
    begin : Callable[[int], None] | None
        Called with the size of the frame once its header has arrived.

    Raises
    ------
    LinkProtocolError
        The frame is larger than `max_bytes`, or a command than
        `MAX_COMMAND_BYTES`.
    asyncio.IncompleteReadError
        The connection ended.
    """
    flags, size = await reader.readexactly(2)
    if flags & _LONG:
        rest = await reader.readexactly(_LONG_SIZE_BYTES - 1)
        size = int.from_bytes(bytes([size]) + rest)
    limit = MAX_COMMAND_BYTES if flags & _COMMAND else max_bytes
    if size > limit:
        raise LinkProtocolError(f'a frame has {size} bytes')
    if begin is not None:
        begin(size)
    return Frame(flags, await reader.readexactly(size))
