"""Datagrams of gossip, as msgpack arrays with an integer tag."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.configuration.stamp import Stamp
from lycheespar.membership.broadcast import Broadcast
from lycheespar.membership.records import (
    Liveness,
    MemberRecord,
    Verdict,
)

# Payload of a UDP datagram that no usual link has to fragment.
MAX_DATAGRAM_BYTES: Final = 1300


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What rides along with a `Ping` or an `Ack`.

    Attributes
    ----------
    records : tuple[MemberRecord, ...]
        Records whose content is new.
    verdicts : tuple[Verdict, ...]
        Members whose liveness alone is new.
    broadcasts : tuple[Broadcast, ...]
        Facts that hold now.
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
        Those of the sender's own record.
    """

    sender: str
    incarnation: int
    version: int
    refutation: int

    @property
    def claim(self) -> Verdict:
        """What the sender says of itself."""
        return Verdict(
            self.sender,
            self.incarnation,
            self.version,
            self.refutation,
            Liveness.alive,
        )


class Ping(_Datagram, frozen=True, tag=1):
    """Asks for an `Ack` with the same serial."""

    serial: int
    news: News = News()


class Ack(_Datagram, frozen=True, tag=2):
    """Answers a `Ping`.

    Attributes
    ----------
    stamp : Stamp
        Newest stamp of the sender, aged to the moment of sending.
    """

    serial: int
    stamp: Stamp
    news: News = News()


class PingRequest(_Datagram, frozen=True, tag=3):
    """Asks the receiver to ping a member on behalf of the sender."""

    serial: int
    node: str
    host: str
    port: int


class IndirectAck(_Datagram, frozen=True, tag=4):
    """Answers a `PingRequest`: whether the member answered."""

    serial: int
    answered: bool


class Summary(_Datagram, frozen=True, tag=5):
    """Checksums of the sender's table, one for each bucket.

    Attributes
    ----------
    checksums : bytes
        Checksums of four bytes each, in the order of the buckets.
    limit : int
        Number of buckets that the receiver may answer with.
    """

    checksums: bytes
    limit: int


class Contents(_Datagram, frozen=True, tag=6):
    """Versions of all records in one bucket where checksums differ."""

    bucket: int
    entries: tuple[Verdict, ...]


class Want(_Datagram, frozen=True, tag=7):
    """Asks for the records of some members."""

    nodes: tuple[str, ...]


class Records(_Datagram, frozen=True, tag=8):
    """Some records and verdicts, as asked for or as found missing."""

    news: News


class Same(_Datagram, frozen=True, tag=9):
    """Answers a `Summary`: the tables do not differ."""


Datagram = (
    Ping
    | Ack
    | PingRequest
    | IndirectAck
    | Summary
    | Contents
    | Want
    | Records
    | Same
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def sender_of(own: MemberRecord) -> tuple[str, int, int, int]:
    """Return the first fields of a datagram from a node."""
    return (own.node, own.incarnation, own.version, own.refutation)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(datagram)


def encoded_size(part: msgspec.Struct) -> int:
    """Return the bytes that a part takes within a datagram."""
    return len(_encoder.encode(part))


def decode(payload: bytes) -> Datagram | None:
    """Decode a datagram; nothing if it is malformed."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
