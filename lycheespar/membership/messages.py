"""Gossip datagrams, encoded as msgpack arrays with an integer tag."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from lycheespar.configuration.stamp import Stamp
from lycheespar.membership.broadcast import Broadcast
from lycheespar.membership.records import (
    Liveness,
    MemberRecord,
    Verdict,
)

# Largest UDP payload that common links carry without fragmentation.
MAX_DATAGRAM_BYTES: Final = 1300
# Largest UDP payload that is decoded.
MAX_RECEIVED_BYTES: Final = 8 * 1024
# Largest size of the records of a datagram once they are decompressed.
MAX_UNPACKED_BYTES: Final = 64 * 1024
COMPRESSION_LEVEL: Final = 1


class Updates(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Updates that a `Ping`, an `Ack` or a `Records` carries.

    Attributes
    ----------
    records : tuple[MemberRecord, ...]
        Records that are new or have a new version.
    verdicts : tuple[Verdict, ...]
        Verdicts on members of which only the liveness changed.
    broadcasts : tuple[Broadcast, ...]
        Broadcasts that have not expired.
    """

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    broadcasts: tuple[Broadcast, ...] = ()


class _Datagram(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all datagrams.

    Attributes
    ----------
    sender : str
        Identity of the sending node.
    incarnation, version, refutation : int
        Fields of the sender's own record.
    """

    sender: str
    incarnation: int
    version: int
    refutation: int

    @property
    def sender_verdict(self) -> Verdict:
        """Verdict of the sender on itself: alive."""
        return Verdict(
            self.sender,
            self.incarnation,
            self.version,
            self.refutation,
            Liveness.alive,
        )


class Ping(_Datagram, frozen=True, tag=1):
    """Request for an `Ack` with the same serial."""

    serial: int
    updates: Updates = Updates()


class Ack(_Datagram, frozen=True, tag=2):
    """Reply to a `Ping`.

    Attributes
    ----------
    stamp : Stamp
        Newest stamp of the sender; its age is that at the time of sending.
    """

    serial: int
    stamp: Stamp
    updates: Updates = Updates()


class PingRequest(_Datagram, frozen=True, tag=3):
    """Request to ping a member on behalf of the sender."""

    serial: int
    node: str
    host: str
    port: int


class IndirectAck(_Datagram, frozen=True, tag=4):
    """Reply to a `PingRequest`: whether the member answered."""

    serial: int
    answered: bool


class TableSummary(_Datagram, frozen=True, tag=5):
    """Checksums of the sender's table, one per bucket.

    Attributes
    ----------
    checksums : bytes
        Checksums of four bytes each, in bucket order.
    limit : int
        Maximum number of buckets that the receiver may send in reply.
    """

    checksums: bytes
    limit: int


class BucketContents(_Datagram, frozen=True, tag=6):
    """Verdicts on all records of one bucket whose checksums differ."""

    bucket: int
    entries: tuple[Verdict, ...]


class RecordRequest(_Datagram, frozen=True, tag=7):
    """Request for the records of the given members."""

    nodes: tuple[str, ...]


class Records(_Datagram, frozen=True, tag=8):
    """Updates that are sent without a ping or an acknowledgement."""

    updates: Updates


class TablesEqual(_Datagram, frozen=True, tag=9):
    """Reply to a `TableSummary`: the tables do not differ."""


class Join(_Datagram, frozen=True, tag=10):
    """Request for some members, from a node that knows no other one.

    Attributes
    ----------
    record : MemberRecord
        Record of the sender.
    """

    record: MemberRecord


class TablePage(_Datagram, frozen=True, tag=11):
    """Some records of the sender's table.

    Attributes
    ----------
    packed : bytes
        The records, as `pack_records` returns them.
    table_size : int
        Number of records in the sender's table, if it is complete and sent
        whole; else 0.
    """

    packed: bytes
    table_size: int = 0


Datagram = (
    Ping
    | Ack
    | PingRequest
    | IndirectAck
    | TableSummary
    | BucketContents
    | RecordRequest
    | Records
    | TablesEqual
    | Join
    | TablePage
)

_encoder = msgspec.msgpack.Encoder()
_records_decoder = msgspec.msgpack.Decoder(tuple[MemberRecord, ...])
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def sender_fields(own: MemberRecord) -> tuple[str, int, int, int]:
    """Return the fields that each datagram of a node starts with."""
    return (own.node, own.incarnation, own.version, own.refutation)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(datagram)


def encoded_size(part: msgspec.Struct) -> int:
    """Return the number of bytes that a part takes up in a datagram."""
    return len(_encoder.encode(part))


def pack_records(records: Sequence[MemberRecord]) -> bytes:
    """Encode and compress records."""
    return zlib.compress(_encoder.encode(records), COMPRESSION_LEVEL)


def unpack_records(packed: bytes) -> tuple[MemberRecord, ...]:
    """Decode packed records; return none if they are malformed."""
    inflater = zlib.decompressobj()
    try:
        encoded = inflater.decompress(packed, MAX_UNPACKED_BYTES)
        return _records_decoder.decode(encoded)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError):
        return ()


def decode(payload: bytes) -> Datagram | None:
    """Decode a datagram; return `None` if it is malformed or too large."""
    if len(payload) > MAX_RECEIVED_BYTES:
        return None
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
