"""Heads that are over the limit or never end."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from aiohttp.web_protocol import RequestHandler

from lycheespar.tests.http_limits.clients import (
    caller_of,
    new_server,
    open_connection,
    serving,
)
from lycheespar.tests.ingress.callers import GatedDispatch

MB = 1024 * 1024
# Bytes that an event loop receives at once from one connection.
SEGMENT = 256_000
HEAD = b'GET /get/0 HTTP/1.1\r\nHost: desk.team\r\n'
CHUNKED = (
    b'POST /book HTTP/1.1\r\nHost: desk.team\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
ENDLESS = {
    'bytes 0': (b'', b'\0'),
    'spaces': (b'', b' '),
    'starts of TLS': (b'', b'\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03'),
    'a method': (b'', b'A'),
    'a target': (b'GET /get/', b'a'),
    'a name of a field': (HEAD, b'a'),
    'one field': (HEAD + b'X: ', b'a'),
    'continuation lines': (HEAD + b'X: a\r\n', b' a\r\n'),
    'many fields': (HEAD, b'X-Field: ' + b'a' * 100 + b'\r\n'),
    'many short fields': (HEAD, b'a:b\r\n'),
    'heads over the limit': (b'', HEAD + b'X: ' + b'a' * 60_000 + b'\r\n\r\n'),
    'trailers': (CHUNKED + b'0\r\n', b'X: a\r\n'),
    'sizes of chunks': (CHUNKED, b'0'),
    'extensions of chunks': (CHUNKED + b'1;', b'a=b;'),
    'empty lines': (b'', b'\r\n'),
}


@pytest.mark.parametrize('kind', ENDLESS)
async def test_endless_heads_take_no_memory(kind):
    """Errors kept the bytes that they described, and reading went on."""
    begin, rest = ENDLESS[kind]
    connection = open_connection(new_server())
    segment = rest * (SEGMENT // len(rest))
    tracemalloc.start()
    connection.data_received(begin)
    for _ in range(40):
        connection.data_received(segment)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    connection.connection_lost(None)
    await asyncio.sleep(0)
    # The largest head with thousands of fields, and one segment.
    assert peak < 4 * MB


@pytest.mark.parametrize(
    'fields',
    [
        b'X: ' + b'a' * 15_000 + b'\r\n',
        b'a:b\r\n' * 3000,
        b'X-Field: ' + b'a' * 60 + b'\r\n' * 1,
    ],
)
@pytest.mark.parametrize('size', [1, 700, 100_000])
async def test_a_request_within_the_limit_is_served(fields, size):
    """The parser refused fields of 8,190 bytes and more than 128 fields."""
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    async with (
        serving(new_server(dispatch=dispatch)) as server,
        caller_of(server) as caller,
    ):
        sent = HEAD + fields + b'\r\n'
        for begin in range(0, len(sent), size):
            caller.writer.write(sent[begin : begin + size])
            await caller.writer.drain()
        assert (await caller.receive())[0] == 200


@pytest.mark.parametrize('end', [b'', b'\r\n\r\n'])
async def test_a_head_over_the_limit_is_refused(end):
    """Heads of any size were served, up to 128 fields of 8,190 bytes."""
    async with serving(new_server()) as server, caller_of(server) as caller:
        field = b'X-Field: ' + b'a' * 5000 + b'\r\n'
        caller.writer.write(HEAD + field * 4 + end)
        status, _, body = await caller.receive()
        assert (status, b'head_too_large' in body) == (431, True)
        assert await caller.is_closed()


async def test_requests_before_a_head_over_the_limit_are_answered():
    """Nothing that was read whole may end without an answer."""
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    server = new_server(dispatch=dispatch)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write((HEAD + b'\r\n') * 3 + HEAD + b'X' * 20_000)
        statuses = [(await caller.receive())[0] for _ in range(4)]
        assert statuses == [200, 200, 200, 431]


async def test_a_head_may_end_between_two_segments():
    """Its end was not seen, so that an error behind it discarded it."""
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    server = new_server(dispatch=dispatch)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(HEAD)
        await asyncio.sleep(0.05)
        caller.writer.write(b'\r\nnonsense\r\n\r\n')
        assert (await caller.receive())[0] == 200
        assert (await caller.receive())[0] == 400


async def test_empty_lines_cost_no_calls_of_the_parser(monkeypatch):
    """Each second line was a call, so that the event loop stood still."""
    calls = []
    parse = RequestHandler.data_received

    def count(connection: RequestHandler, data: bytes) -> None:
        calls.append(data)
        parse(connection, data)

    monkeypatch.setattr(RequestHandler, 'data_received', count)
    connection = open_connection(new_server())
    connection.data_received(b'\r\n' * (SEGMENT // 2))
    connection.connection_lost(None)
    await asyncio.sleep(0)
    assert len(calls) < 100


@pytest.mark.parametrize('lines', [b'\r\n', b'\n\n\r', b'\r\n' * 50])
async def test_empty_lines_before_a_request_are_skipped(lines):
    """Clients may send some, but not more than a head may be long."""
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    server = new_server(dispatch=dispatch)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write((lines + HEAD + b'\r\n') * 3)
        for _ in range(3):
            assert (await caller.receive())[0] == 200
        caller.writer.write(b'\r\n' * 10_000)
        assert (await caller.receive())[0] == 431


async def test_line_ends_within_bodies_are_kept():
    """Only those between two requests are skipped."""
    dispatch = GatedDispatch()
    dispatch.release('/book', '/get/0')
    server = new_server(dispatch=dispatch)
    body = b'\r\n\r\n' * 40
    length = str(len(body)).encode()
    post = b'POST /book HTTP/1.1\r\nHost: desk.team\r\n'
    async with serving(server), caller_of(server) as caller:
        for framing, sent in (
            (b'Content-Length: ' + length, body),
            (
                b'Transfer-Encoding: chunked',
                b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body),
            ),
        ):
            caller.writer.write(post + framing + b'\r\n\r\n')
            for begin in range(0, len(sent), 3):
                caller.writer.write(sent[begin : begin + 3])
                await asyncio.sleep(0)
            caller.writer.write(HEAD + b'\r\n')
            assert (await caller.receive())[0] == 200
            assert (await caller.receive())[0] == 200
    bodies = [call.body for call in dispatch.calls if call.path == '/book']
    assert bodies[0] == body
