"""Frames of the protocol between nodes: length, version, msgpack payload."""

from __future__ import annotations

import asyncio
import struct
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


async def read_frame(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises
    ------
    FrameTooLargeError
        The frame's header declares more than `MAX_FRAME_BYTES`.
    FrameVersionError
        The version is unknown, or the payload is not a known message.
    asyncio.IncompleteReadError
        The connection ended.
    """
    header = await reader.readexactly(_HEADER.size)
    length, version = _HEADER.unpack(header)
    if version != PROTOCOL_VERSION:
        raise FrameVersionError(f'unknown protocol version {version}')
    if length > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f'received frame has {length} bytes')
    payload = await reader.readexactly(length)
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise FrameVersionError(str(error)) from error
