"""Frames of the protocol between nodes: length, version, msgpack payload."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Final

import msgspec

from lycheespar.errors import FrameTooLargeError, FrameVersionError
from lycheespar.protocol.messages import Message
from lycheespar.protocol.version import PROTOCOL_VERSION

# Largest payload of a frame.
MAX_FRAME_BYTES: Final = 1024 * 1024
_HEADER: Final = struct.Struct('>IB')

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """Encode one message as a frame.

    Raises
    ------
    FrameTooLargeError
        The payload exceeds `MAX_FRAME_BYTES`.
    """
    payload = _encoder.encode(message)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f'message has {len(payload)} bytes')
    return _HEADER.pack(len(payload), PROTOCOL_VERSION) + payload


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    begin: Callable[[int], None] | None = None,
    on_received: Callable[[int], None] | None = None,
) -> Message:
    """Read one message.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Reading end of the connection.
    max_bytes : int
        Largest payload that is accepted.
    begin : Callable[[int], None] | None
        Called with the size of the payload once the header has arrived.
    on_received : Callable[[int], None] | None
        Called with the size of each part of the message that has arrived.

    Raises
    ------
    FrameTooLargeError
        The frame's header declares more than `max_bytes`.
    FrameVersionError
        The version is unknown, or the payload is not a known message.
    asyncio.IncompleteReadError
        The connection ended.
    """
    header = await reader.readexactly(_HEADER.size)
    length, version = _HEADER.unpack(header)
    if version != PROTOCOL_VERSION:
        raise FrameVersionError(f'unknown protocol version {version}')
    if length > max_bytes:
        raise FrameTooLargeError(f'received frame has {length} bytes')
    if begin is not None:
        begin(length)
    if on_received is None:
        payload = await reader.readexactly(length)
    else:
        on_received(_HEADER.size)
        payload = await _read_parts(reader, length, on_received)
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameVersionError(str(error)) from error


async def _read_parts(
    reader: asyncio.StreamReader,
    size: int,
    on_received: Callable[[int], None],
) -> bytes:
    """Read a number of bytes and report each part of them."""
    parts: list[bytes] = []
    missing = size
    while missing:
        part = await reader.read(missing)
        if not part:
            raise asyncio.IncompleteReadError(b''.join(parts), size)
        missing -= len(part)
        parts.append(part)
        on_received(len(part))
    return parts[0] if len(parts) == 1 else b''.join(parts)
