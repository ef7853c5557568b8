"""Compression of large replies to pulls."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import Final

import msgspec
from msgspec.structs import replace

from lycheespar.configuration.changes import Change
from lycheespar.configuration.model import Configuration
from lycheespar.control.messages import PullReply
from lycheespar.errors import LycheesparError

# Size in bytes from which a reply is compressed.
MIN_PACKED_BYTES: Final = 2048
# Longest content in bytes that is unpacked.
MAX_UNPACKED_BYTES: Final = 64 * 1024 * 1024
COMPRESSION_LEVEL: Final = 3
# Packed replies that a control host keeps: most nodes ask for the same ones.
MAX_KEPT_REPLIES: Final = 8


class ReplyDamagedError(LycheesparError):
    """A packed reply can't be unpacked."""

    code = 'reply_damaged'


class _Content(msgspec.Struct, frozen=True):
    """Part of a reply that is compressed."""

    changes: tuple[Change, ...]
    configuration: Configuration | None


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(_Content)


class ReplyPacker:
    """Compresses the content of replies, and keeps the newest results."""

    __slots__ = ('_packed',)

    def __init__(self) -> None:
        """Create a packer that keeps no replies."""
        self._packed: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def pack(self, reply: PullReply, revision: int) -> PullReply:
        """Return a reply with its content compressed, if that is large.

        Parameters
        ----------
        reply : PullReply
            The reply.
        revision : int
            Revision to which the reply brings the node.
        """
        key = (reply.base_revision, revision)
        packed = self._packed.get(key)
        if packed is None:
            packed = _compress(reply)
            self._packed[key] = packed
            if len(self._packed) > MAX_KEPT_REPLIES:
                self._packed.popitem(last=False)
        if not packed:
            return reply
        return replace(reply, changes=(), configuration=None, packed=packed)


def unpack(reply: PullReply) -> PullReply:
    """Return a reply with its content.

    Raises
    ------
    ReplyDamagedError
        The content can't be unpacked.
    """
    if not reply.packed:
        return reply
    inflater = zlib.decompressobj()
    try:
        content = _decoder.decode(
            inflater.decompress(reply.packed, MAX_UNPACKED_BYTES)
        )
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ReplyDamagedError(repr(error)) from error
    return replace(
        reply,
        changes=content.changes,
        configuration=content.configuration,
        packed=b'',
    )


def _compress(reply: PullReply) -> bytes:
    """Return the compressed content; nothing if it is small."""
    encoded = _encoder.encode(_Content(reply.changes, reply.configuration))
    if len(encoded) < MIN_PACKED_BYTES:
        return b''
    return zlib.compress(encoded, COMPRESSION_LEVEL)
