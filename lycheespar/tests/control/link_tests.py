"""Tests of what a link server does with messages of unknown senders."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
import zmq
import zmq.asyncio
from loguru import logger

from lycheespar.control.link import (
    MAX_REQUEST_BYTES,
    ControlLink,
    LinkServer,
)
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    EvidenceNoted,
    Pull,
)
from lycheespar.settings.options import Address
from standins.cluster import free_port

PULL = Pull('node', 0, 0)


async def _handle(request: ControlRequest) -> ControlReply:
    return EvidenceNoted()


@pytest.fixture
async def context():
    """Context that discards what is left unsent."""
    created = zmq.asyncio.Context()
    yield created
    created.destroy(linger=0)


@pytest.fixture
async def server(context):
    """Run a server that gives the same reply to each request."""
    address = Address('127.0.0.1', free_port('127.0.0.1'))
    created: LinkServer[ControlRequest, ControlReply] = LinkServer(
        context, ControlRequest, _handle
    )
    await created.start(address)
    yield address
    created.close()


@pytest.fixture
def failed_tasks():
    """Collect the names of the tasks whose failure was reported."""
    names = []

    def record(line):
        fields = line.record['extra'].get('fields') or {}
        if fields.get('event') == 'task_failed':
            names.append(fields['task'])

    handler = logger.add(record, level='INFO')
    yield names
    logger.remove(handler)


async def _ask(context: zmq.asyncio.Context, address: Address) -> ControlReply:
    link: ControlLink[ControlRequest, ControlReply] = ControlLink(
        context, address, ControlReply
    )
    try:
        return await link.ask(PULL, timeout_s=10)
    finally:
        link.close()


async def test_a_deeply_nested_request_does_not_stop_the_reader(
    context, server, failed_tasks
):
    nested = b'\x84\xa4type\xa4pull\xa1x' + b'\x91' * 5000
    socket = context.socket(zmq.DEALER)
    socket.connect(f'tcp://{server}')
    await socket.send_multipart((b'12345678', nested))
    await socket.send_multipart((b'87654321', msgspec.msgpack.encode(PULL)))
    async with asyncio.timeout(10):
        serial, _ = await socket.recv_multipart()
    assert serial == b'87654321'
    assert not failed_tasks
    assert await _ask(context, server) == EvidenceNoted()


async def test_a_connection_that_sends_a_huge_message_is_closed(
    context, server
):
    socket = context.socket(zmq.DEALER)
    monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
    socket.connect(f'tcp://{server}')
    huge = Pull('x' * MAX_REQUEST_BYTES, 0, 0)
    await socket.send_multipart((b'12345678', msgspec.msgpack.encode(huge)))
    async with asyncio.timeout(10):
        await monitor.recv_multipart()
    socket.close()
    assert await _ask(context, server) == EvidenceNoted()
