"""Crowds of foreign clients at the addresses between nodes and hosts."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from functools import partial

import pytest

from lycheespar.errors import ProtocolError
from lycheespar.protocol.framing import MAX_FRAME_BYTES, read_frame
from lycheespar.protocol.version import PROTOCOL_VERSION
from lycheespar.tests.crowds.crowd import CONNECT_RETRY_S, Script
from lycheespar.tests.crowds.heads import LETTERS, ORDINARY, SILENT
from lycheespar.tests.crowds.siege import TIMEOUT_S, besiege, check
from standins.small_site import Address

pytestmark = pytest.mark.crowd

SEED = 1
DATAGRAMS = 2000
DATAGRAM_BYTES = 60_000
LARGE_FRAME_BYTES = 16 * 1024 * 1024
HUGE_FRAME_BYTES = 2**31


def _frame_header(size: int) -> bytes:
    """Return the header of a frame between nodes."""
    return struct.pack('>IB', size, PROTOCOL_VERSION)


CHANNELS = {
    'huge_frame': Script(_frame_header(HUGE_FRAME_BYTES), LETTERS),
    'unfinished_frame': Script(
        _frame_header(MAX_FRAME_BYTES),
        LETTERS,
        MAX_FRAME_BYTES - len(LETTERS),
        connections=100,
    ),
    'foreign_protocol': Script(b'', ORDINARY),
    'nothing': SILENT['nothing'],
}
# Greeting and handshake of ZMTP 3.0 with the mechanism NULL.
ZMTP_GREETING = b''.join(
    (b'\xff', bytes(8), b'\x7f\x03\x00', b'NULL'.ljust(20, b'\0'), bytes(32))
)
ZMTP_READY = b'\x05READY\x0bSocket-Type\0\0\0\x06DEALER'
ZMTP_OPENING = ZMTP_GREETING + b'\x04' + bytes([len(ZMTP_READY)]) + ZMTP_READY


def _zmtp_header(flags: int, size: int) -> bytes:
    """Return the header of a long ZMTP frame."""
    return struct.pack('>BQ', flags, size)


CONTROL_LINKS = {
    'huge_frame': Script(
        ZMTP_OPENING + _zmtp_header(2, HUGE_FRAME_BYTES), LETTERS
    ),
    'large_frame': Script(
        ZMTP_OPENING + _zmtp_header(2, LARGE_FRAME_BYTES), LETTERS
    ),
    'message_without_end': Script(
        ZMTP_OPENING, _zmtp_header(3, len(LETTERS)) + LETTERS
    ),
    'foreign_messages': Script(
        ZMTP_OPENING, _zmtp_header(2, len(LETTERS)) + LETTERS
    ),
    'large_command': Script(
        ZMTP_GREETING + _zmtp_header(6, LARGE_FRAME_BYTES), LETTERS
    ),
    'foreign_protocol': Script(b'', ORDINARY),
    'nothing': SILENT['nothing'],
}


@pytest.mark.parametrize('name', CHANNELS)
async def test_a_node_bears_foreign_clients_at_its_channels(site, name):
    """The largest frames of all connections did not fit in memory."""
    await besiege(
        site.node,
        site.channels,
        CHANNELS[name],
        partial(_open_channel, site.channels),
        site.send_request,
    )


@pytest.mark.parametrize('name', CONTROL_LINKS)
async def test_a_control_host_bears_foreign_clients_at_its_links(site, name):
    """Messages of any size were kept until their last frame."""
    await besiege(
        site.control,
        site.control_links,
        CONTROL_LINKS[name],
        partial(_greet_link, site.control_links),
        site.read_configuration,
        site.send_request,
    )


@pytest.mark.parametrize('kind', ['zeros', 'nested', 'random'])
async def test_a_node_bears_odd_datagrams(site, kind):
    """Gossip is decoded as soon as it arrives, from anyone."""
    source = random.Random(SEED)
    datagrams = {
        'zeros': bytes(DATAGRAM_BYTES),
        'nested': b'\x91' * DATAGRAM_BYTES,
        'random': source.randbytes(DATAGRAM_BYTES),
    }
    async with asyncio.timeout(TIMEOUT_S):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(DATAGRAMS):
                sock.sendto(datagrams[kind], site.gossip)
        await check(site.node, (site.send_request,))


async def _open_channel(address: Address) -> None:
    """Open a channel to a node, as another node does."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_S)
            continue
        try:
            await read_frame(reader)
        except (OSError, EOFError, ProtocolError):
            await asyncio.sleep(CONNECT_RETRY_S)
        else:
            return
        finally:
            writer.close()


async def _greet_link(address: Address) -> None:
    """Wait until a control host greets a new connection."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_S)
            continue
        try:
            writer.write(ZMTP_OPENING)
            await reader.readexactly(len(ZMTP_GREETING))
        except (OSError, EOFError):
            await asyncio.sleep(CONNECT_RETRY_S)
        else:
            return
        finally:
            writer.close()
