"""Behaviour of the ingress server, over raw connections."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import json
import socket

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import (
    Configuration,
    RequestClass,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OverloadedError, TruncatedAnswerError
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.server import IngressServer
from lycheespar.settings.options import Address
from lycheespar.streams import GuardedStream

LIMIT = 200_000
HEAD = 'Host: certificates.vlotwacht\r\n'


class FakeDispatch:
    """Reads the body of each call and returns a configurable answer."""

    def __init__(self) -> None:
        """Create a dispatch that answers 200 with the length of the body."""
        self.calls: list[Call] = []
        self.bodies: list[bytes] = []
        self.answer: Answer | Exception | None = None
        self.cancelled = asyncio.Event()
        self.blocked = False

    async def dispatch(self, call: Call) -> Answer:
        """Record a call and answer it."""
        self.calls.append(call)
        if self.blocked:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        body = call.body
        if not isinstance(body, bytes):
            body = b''.join([chunk async for chunk in body])
        self.bodies.append(body)
        if isinstance(self.answer, Exception):
            raise self.answer
        whole = f'got {len(body)}'.encode()
        return self.answer or Answer(200, (), whole, Load())


class Ingress:
    """An ingress server and raw connections to it."""

    def __init__(self, dispatch: FakeDispatch) -> None:
        """Create a stopped server with one service in its configuration."""
        classes = {'urgent': RequestClass(4), 'bulk': RequestClass(1)}
        team = Team('vlotwacht', {'certificates': TeamService('delivery')})
        configuration = Configuration(
            1,
            {'delivery': Template('delivery', classes)},
            {'vlotwacht': team},
        )
        self.dispatch = dispatch
        self.server = IngressServer(
            CallBuilder(ConfigurationView(configuration), LIMIT),
            dispatch,
        )

    async def connect(self):
        """Open a connection."""
        return await asyncio.open_connection('127.0.0.1', self.server.port)

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes and return all bytes until the connection closes."""
        reader, writer = await self.connect()
        writer.write(sent)
        async with asyncio.timeout(10):
            received = await reader.read()
        writer.close()
        return received


@pytest.fixture
async def ingress():
    """Run an ingress in front of a fake dispatch."""
    running = Ingress(FakeDispatch())
    await running.server.start(Address('127.0.0.1', 0))
    yield running
    await running.server.stop()


def _request(
    line: str = 'GET /a HTTP/1.1',
    headers: str = '',
    body: bytes = b'',
) -> bytes:
    text = f'{line}\r\n{HEAD}Connection: close\r\n{headers}\r\n'
    return text.encode() + body


async def _chunks(*chunks: bytes, truncated: bool = False):
    for chunk in chunks:
        yield chunk
    if truncated:
        raise TruncatedAnswerError


async def test_call_has_the_headers_and_parameters_of_the_request(ingress):
    headers = (
        'X-Deadline-Ms: 150\r\nX-Call-Depth: 3\r\nX-Request-Class: urgent\r\n'
        'Via: 1.0 other\r\nIdempotency-Key: k1\r\n'
    )
    await ingress.exchange(_request(headers=headers))
    (call,) = ingress.dispatch.calls
    sent = dict(call.headers)
    assert sent['Host'] == 'certificates.vlotwacht'
    assert sent['X-Call-Depth'] == '4'
    assert sent['X-Request-Class'] == 'urgent'
    assert sent['X-Forwarded-For'] == '127.0.0.1'
    assert sent['Via'] == '1.0 other, 1.1 lycheespar'
    assert 'Connection' not in sent
    assert call.weight == 4
    assert call.idempotency_key == 'k1'
    assert call.deadline - asyncio.get_running_loop().time() < 0.15


@pytest.mark.parametrize('digits', [20, 5000])
async def test_a_deadline_with_many_digits_is_that_of_the_route(
    ingress, digits
):
    headers = f'X-Deadline-Ms: {"9" * digits}\r\n'
    await ingress.exchange(_request(headers=headers))
    assert len(ingress.dispatch.calls) == 1


async def test_request_class_header_is_ignored_without_a_call_depth(ingress):
    await ingress.exchange(_request(headers='X-Request-Class: urgent\r\n'))
    assert ingress.dispatch.calls[0].request_class == 'default'


async def test_call_depth_over_the_limit_is_refused_as_a_loop(ingress):
    received = await ingress.exchange(_request(headers='X-Call-Depth: 33\r\n'))
    assert received.startswith(b'HTTP/1.1 508')
    assert not ingress.dispatch.calls


@pytest.mark.parametrize(
    'sent',
    [
        b'nonsense\r\n\r\n',
        b'GET /a HTTP/1.1\r\nConnection: close\r\n\r\n',
        _request(headers='Content-Length: 3\r\nContent-Length: 4\r\n'),
        _request(
            'POST /a HTTP/1.1',
            'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
            b'0\r\n\r\n',
        ),
        _request('POST /a HTTP/1.1', 'Content-Length: -1\r\n'),
        _request(headers='X-Deadline-Ms: soon\r\n'),
        _request(headers='Bad Name: 1\r\n'),
    ],
)
async def test_malformed_request_gets_a_problem_document(ingress, sent):
    received = await ingress.exchange(sent)
    head, _, body = received.partition(b'\r\n\r\n')
    assert b' 400 ' in head.split(b'\r\n')[0]
    assert json.loads(body)['code'] == 'bad_request'
    assert not ingress.dispatch.calls


async def test_invalid_chunks_never_form_a_complete_body(ingress):
    sent = _request(
        'POST /a HTTP/1.1',
        'Transfer-Encoding: chunked\r\n',
        b'5\r\nhello\r\nzz\r\n',
    )
    received = await ingress.exchange(sent)
    assert b' 400 ' in received.split(b'\r\n')[0]
    assert not ingress.dispatch.bodies


async def test_an_invalid_chunk_behind_the_head_is_answered_at_once(ingress):
    """The body stayed pending until its caller counted as lost."""
    reader, writer = await ingress.connect()
    writer.write(
        _request(
            'POST /a HTTP/1.1',
            'Transfer-Encoding: chunked\r\n',
            b'5\r\nhello\r\n',
        )
    )
    await asyncio.sleep(0.05)
    writer.write(b'zz\r\n')
    async with asyncio.timeout(10):
        assert b' 400 ' in await reader.readline()
    writer.close()
    assert not ingress.dispatch.bodies


@pytest.mark.parametrize('pause_s', [0, 0.05])
async def test_an_invalid_chunk_of_a_refused_upload_is_no_error(
    ingress, pause_s, caplog
):
    """Discarding the rest of the body raised in the connection's task."""
    reader, writer = await ingress.connect()
    writer.write(
        b'POST /a HTTP/1.1\r\nHost: nobody.knows\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'
    )
    await asyncio.sleep(pause_s)
    writer.write(b'zz\r\n')
    async with asyncio.timeout(10):
        assert b' 404 ' in await reader.readline()
        await reader.read()
    writer.close()
    assert not [record for record in caplog.records if record.exc_info]


async def test_declared_length_over_the_limit_is_refused_unread(ingress):
    sent = _request('POST /a HTTP/1.1', f'Content-Length: {LIMIT + 1}\r\n')
    received = await ingress.exchange(sent)
    assert received.startswith(b'HTTP/1.1 413')
    assert b'not_run' in received
    assert not ingress.dispatch.calls


async def test_streamed_body_over_the_limit_is_aborted(ingress):
    chunk = b'x' * 60_000
    framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
    sent = _request(
        'POST /a HTTP/1.1',
        'Transfer-Encoding: chunked\r\n',
        framed * 4 + b'0\r\n\r\n',
    )
    received = await ingress.exchange(sent)
    assert received.startswith(b'HTTP/1.1 413')
    assert b'"unknown"' in received
    assert not ingress.dispatch.bodies


@pytest.mark.parametrize('length', [5, 100_000])
async def test_caller_that_expects_continue_gets_it(ingress, length):
    reader, writer = await ingress.connect()
    headers = f'Content-Length: {length}\r\nExpect: 100-continue\r\n'
    writer.write(_request('POST /a HTTP/1.1', headers))
    async with asyncio.timeout(10):
        assert await reader.readline() == b'HTTP/1.1 100 Continue\r\n'
        writer.write(b'x' * length)
        received = await reader.read()
    writer.close()
    assert received.endswith(f'got {length}'.encode())


async def test_compressed_body_is_not_decompressed(ingress):
    body = gzip.compress(b'hello')
    headers = f'Content-Encoding: gzip\r\nContent-Length: {len(body)}\r\n'
    await ingress.exchange(_request('POST /a HTTP/1.1', headers, body))
    assert ingress.dispatch.bodies == [body]


async def test_answer_to_head_keeps_its_content_length(ingress):
    ingress.dispatch.answer = Answer(
        200,
        (('Content-Length', '5000'),),
        b'',
        Load(),
    )
    received = await ingress.exchange(_request('HEAD /a HTTP/1.1'))
    assert b'Content-Length: 5000\r\n' in received
    assert received.endswith(b'\r\n\r\n')


@pytest.mark.parametrize('status', [204, 304])
async def test_status_without_a_body_is_sent_without_one(ingress, status):
    ingress.dispatch.answer = Answer(status, (('ETag', '"1"'),), b'', Load())
    received = await ingress.exchange(_request())
    assert received.startswith(f'HTTP/1.1 {status}'.encode())
    assert b'ETag: "1"\r\n' in received
    assert received.endswith(b'\r\n\r\n')
    assert b'Transfer-Encoding' not in received


async def test_http_1_0_answer_ends_with_the_connection(ingress):
    ingress.dispatch.answer = Answer(200, (), _chunks(b'a', b'b'), Load())
    sent = f'GET /a HTTP/1.0\r\n{HEAD}\r\n'.encode()
    received = await ingress.exchange(sent)
    assert received.endswith(b'\r\n\r\nab')
    assert b'Transfer-Encoding' not in received


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('headers', [(), (('Content-Length', '4'),)])
async def test_truncated_answer_resets_the_connection(
    ingress, version, headers
):
    truncated = _chunks(b'a', b'b', truncated=True)
    ingress.dispatch.answer = Answer(200, headers, truncated, Load())
    reader, writer = await ingress.connect()
    writer.write(f'GET /a HTTP/{version}\r\n{HEAD}\r\n'.encode())
    async with asyncio.timeout(10):
        with pytest.raises(ConnectionResetError):
            await reader.read()
    writer.close()


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('streamed', [False, True])
@pytest.mark.parametrize('headers', [(), (('Content-Length', '2'),)])
async def test_an_answer_that_cannot_be_written_becomes_an_error(
    ingress, version, streamed, headers
):
    """The connection ended without an answer."""
    closed = asyncio.Event()
    body = GuardedStream(_chunks(b'o', b'k'), lambda _: closed.set())
    ingress.dispatch.answer = Answer(
        200,
        (('X-Any', 'a\x01b'), *headers),
        body if streamed else b'ok',
        Load(),
    )
    reader, writer = await ingress.connect()
    kept = f'GET /a HTTP/{version}\r\n{HEAD}Connection: keep-alive\r\n\r\n'
    writer.write(kept.encode())
    async with asyncio.timeout(10):
        head = await reader.readuntil(b'\r\n\r\n')
        assert b' 502 ' in head.split(b'\r\n')[0]
        assert b'transfer-encoding' not in head.lower()
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        problem = json.loads(await reader.readexactly(length))
        assert problem['code'] == 'invalid_answer'
        assert problem['outcome'] == 'unknown'
        if streamed:
            await closed.wait()
        ingress.dispatch.answer = None
        writer.write(_request())
        assert (await reader.read()).endswith(b'got 0')
    writer.close()


async def test_disconnected_caller_cancels_its_call(ingress):
    ingress.dispatch.blocked = True
    _, writer = await ingress.connect()
    writer.write(_request())
    while not ingress.dispatch.calls:
        await asyncio.sleep(0.01)
    writer.close()
    async with asyncio.timeout(10):
        await ingress.dispatch.cancelled.wait()


async def test_caller_that_stops_reading_causes_back_pressure(ingress):
    produced: list[int] = []
    released = asyncio.Event()

    async def endless():
        for index in range(10_000):
            produced.append(index)
            yield b'x' * 65536

    body = GuardedStream(endless(), lambda _: released.set())
    ingress.dispatch.answer = Answer(200, (), body, Load())
    _, writer = await ingress.connect()
    writer.transport.pause_reading()
    writer.write(_request())
    count = -1
    while count != len(produced) or not produced:
        count = len(produced)
        await asyncio.sleep(0.2)
    assert len(produced) < 400
    writer.transport.abort()
    async with asyncio.timeout(10):
        await released.wait()


async def test_refusal_has_a_retry_after_header(ingress):
    ingress.dispatch.answer = OverloadedError(retry_after_s=2.4)
    received = await ingress.exchange(_request())
    assert received.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 3\r\n' in received


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(random_bytes=st.binary(max_size=200))
def test_random_bytes_never_cause_a_call(random_bytes):
    async def attempt() -> None:
        ingress = Ingress(FakeDispatch())
        await ingress.server.start(Address('127.0.0.1', 0))
        reader, writer = await ingress.connect()
        writer.write(random_bytes + b'\r\n\r\n')
        writer.write_eof()
        async with asyncio.timeout(10):
            await reader.read()
        writer.close()
        await ingress.server.stop()
        assert not ingress.dispatch.calls

    asyncio.run(attempt())


async def test_connection_without_a_request_is_closed_at_once(ingress):
    protocol = ingress.server._server()
    closed = []

    class _Transport(asyncio.Transport):
        def close(self) -> None:
            closed.append(True)

    protocol.connection_made(_Transport({'socket': socket.socket()}))
    protocol.close()
    assert closed


async def test_request_after_wait_until_idle_finds_the_connection_closed(
    ingress,
):
    reader, writer = await ingress.connect()
    await ingress.server.wait_until_idle(0)
    writer.write(b'GET / HTTP/1.1\r\nHost: a.b\r\n\r\n')
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(5):
            assert not await reader.read()
    writer.close()


async def test_a_request_that_may_outlast_a_planned_stop_is_refused(ingress):
    """It would be passed on and cut off without an answer at the end."""
    ingress.server.drain(1)
    sent = _request('POST /a HTTP/1.1', 'X-Deadline-Ms: 2000\r\n')
    received = await ingress.exchange(sent)
    head, _, body = received.partition(b'\r\n\r\n')
    assert b' 503 ' in head.split(b'\r\n')[0]
    assert b'retry-after' in head.lower()
    problem = json.loads(body)
    assert problem['code'] == 'draining'
    assert problem['outcome'] == 'not_run'
    assert not ingress.dispatch.calls


async def test_a_request_that_ends_before_a_planned_stop_is_served(ingress):
    """Callers may have no other node than the one that stops."""
    ingress.server.drain(3)
    sent = _request('POST /a HTTP/1.1', 'X-Deadline-Ms: 1000\r\n')
    received = await ingress.exchange(sent)
    assert received.startswith(b'HTTP/1.1 200')


async def test_a_usually_short_request_is_served_early_in_a_stop(ingress):
    """The node must learn durations from the answers that it sends."""
    sent = _request('POST /a HTTP/1.1', 'X-Deadline-Ms: 2000\r\n')
    await ingress.exchange(sent)
    ingress.server.drain(1.5)
    received = await ingress.exchange(sent)
    assert received.startswith(b'HTTP/1.1 200')
