"""Tests of the HTTP client for the target."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from lycheespar.call import Answer, Load
from lycheespar.errors import (
    BadRequestError,
    DeadlineExceededError,
    InvalidAnswerError,
    RequestBodyAbortedError,
    TargetLostError,
    TruncatedAnswerError,
)
from lycheespar.profile import HeaderProfile
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.tests.admission.calls import make_call
from standins.cluster import wait_until
from standins.serving import serve_streams

Script = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]
LARGE = 300_000


class ScriptedTarget:
    """HTTP server that answers each request with a script."""

    def __init__(self, script: Script) -> None:
        """Create a stopped server; `start` opens the port."""
        self.heads: list[bytes] = []
        self.connections = 0
        self.open = 0
        self._script = script
        self.address = ''

    async def start(self) -> None:
        """Open the port."""
        self._server = await serve_streams(self._serve)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        self.open += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                await self._script(writer, head)
        except (OSError, EOFError):
            return
        finally:
            self.open -= 1
            writer.close()


def _answer_with(
    head: str, body: bytes = b'', *, close: bool = False
) -> Script:
    async def script(writer: asyncio.StreamWriter, _: bytes) -> None:
        writer.write(f'HTTP/1.1 {head}\r\n\r\n'.encode() + body)
        await writer.drain()
        if close:
            writer.close()

    return script


async def _close(writer: asyncio.StreamWriter, _: bytes) -> None:
    writer.close()


async def _send_nothing(writer: asyncio.StreamWriter, _: bytes) -> None:
    await writer.drain()


@pytest.fixture
async def connect():
    """Return a function that starts a scripted target and its client."""
    clients: list[TargetClient] = []

    async def build(script: Script) -> tuple[ScriptedTarget, TargetClient]:
        target = ScriptedTarget(script)
        await target.start()
        announced = Announcement('one', 'a', 'b', target.address)
        clients.append(TargetClient(announced))
        return target, clients[-1]

    yield build
    for client in clients:
        await client.close()


async def _reset_midway(writer: asyncio.StreamWriter, _: bytes) -> None:
    """Start an answer without a length, then reset the connection."""
    writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + b'a' * LARGE)
    await writer.drain()
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _read(answer: Answer) -> bytes:
    if isinstance(answer.body, bytes):
        return answer.body
    return b''.join([chunk async for chunk in answer.body])


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_request_on_a_closed_connection_is_not_resent(connect, method):
    target, client = await connect(_close)
    with pytest.raises(TargetLostError):
        await client.send(make_call(method=method), Load())
    assert len(target.heads) == 1


async def test_connection_of_a_timed_out_request_is_closed(connect):
    target, client = await connect(_send_nothing)
    with pytest.raises(DeadlineExceededError):
        await client.send(make_call(budget_s=0.05), Load())
    await wait_until(lambda: not target.open)


async def test_connection_of_a_cancelled_request_is_closed(connect):
    target, client = await connect(_send_nothing)
    task = asyncio.create_task(client.send(make_call(), Load()))
    await wait_until(lambda: target.heads)
    task.cancel()
    await wait_until(lambda: not target.open)


async def test_reset_of_an_answer_without_a_length_raises_an_error(connect):
    _, client = await connect(_reset_midway)
    with pytest.raises((TruncatedAnswerError, TargetLostError)):
        await _read(await client.send(make_call(), Load()))


async def test_answer_without_a_length_ends_when_the_connection_closes(connect):
    body = b'a' * LARGE
    _, client = await connect(_answer_with('200 OK', body, close=True))
    assert await _read(await client.send(make_call(), Load())) == body


async def test_connection_is_reused_after_a_complete_answer(connect):
    target, client = await connect(_answer_with('200 OK\r\nContent-Length: 0'))
    for _ in range(3):
        await client.send(make_call(), Load())
    assert target.connections == 1


@pytest.mark.parametrize('size', [100, LARGE])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
async def test_truncated_body_raises_an_error(connect, size, framing):
    if framing == 'length':
        head = f'200 OK\r\nContent-Length: {size}'
        body = b'x' * (size - 1)
    else:
        head = '200 OK\r\nTransfer-Encoding: chunked'
        body = f'{size:x}\r\n'.encode() + b'x' * size + b'\r\n'
    _, client = await connect(_answer_with(head, body, close=True))
    with pytest.raises(TruncatedAnswerError):
        await _read(await client.send(make_call(), Load()))


@pytest.mark.parametrize(
    ('method', 'head'),
    [
        ('HEAD', '200 OK\r\nContent-Length: 500000'),
        ('HEAD', '200 OK\r\nTransfer-Encoding: chunked'),
        ('GET', '204 No Content'),
        ('GET', '304 Not Modified\r\nContent-Length: 500000'),
    ],
)
async def test_client_does_not_wait_for_bodies_of_bodiless_answers(
    connect, method, head
):
    target, client = await connect(_answer_with(head))
    for _ in range(2):
        answer = await client.send(make_call(method=method), Load())
        assert answer.body == b''
    assert target.connections == 1


async def test_large_body_without_a_length_is_read_to_its_end(connect):
    _, client = await connect(_answer_with('200 OK', b'x' * LARGE, close=True))
    answer = await client.send(make_call(), Load())
    assert len(await _read(answer)) == LARGE


async def test_target_receives_the_remaining_time(connect):
    target, client = await connect(_answer_with('200 OK\r\nContent-Length: 0'))
    call = make_call(budget_s=2)
    call.headers = (('x-deadline-ms', '999999'), ('Host', 'b.a'))
    await client.send(call, Load())
    lines = target.heads[0].decode().lower().split('\r\n')
    deadlines = [line for line in lines if line.startswith('x-deadline-ms')]
    assert 0 < int(deadlines[0].partition(': ')[2]) <= 2000
    assert len(deadlines) == 1
    assert 'host: b.a' in lines


async def test_hop_by_hop_headers_are_removed(connect):
    head = '200 OK\r\nContent-Length: 0\r\nConnection: X-Own\r\nX-Own: 1'
    _, client = await connect(_answer_with(head))
    answer = await client.send(make_call(), Load())
    assert answer.headers == (('Content-Length', '0'),)


@pytest.mark.parametrize('coding', ['gzip', 'identity', ''])
async def test_an_encoded_body_is_rejected_where_codings_are_not_used(coding):
    """Callers that ask for none get a body that is not the target's."""
    head = f'200 OK\r\nContent-Encoding: {coding}\r\nContent-Length: 2'
    target = ScriptedTarget(_answer_with(head, b'ok'))
    await target.start()
    announced = Announcement('one', 'a', 'b', target.address)
    client = TargetClient(announced, HeaderProfile(content_codings=False))
    with pytest.raises(InvalidAnswerError):
        await client.send(make_call(), Load())
    await wait_until(lambda: not target.open)
    await client.close()


async def test_an_encoded_body_is_passed_on_as_it_is(connect):
    head = '200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2'
    _, client = await connect(_answer_with(head, b'ok'))
    answer = await client.send(make_call(), Load())
    assert answer.body == b'ok'
    assert dict(answer.headers)['Content-Encoding'] == 'gzip'


async def _aborted_body() -> AsyncIterator[bytes]:
    yield b'x' * 1000
    raise BadRequestError('the caller left')


async def test_request_body_aborted_by_the_caller_is_a_caller_error(
    connect,
):
    target, client = await connect(_send_nothing)
    call = make_call(method='POST', body=_aborted_body())
    with pytest.raises(RequestBodyAbortedError):
        await client.send(call, Load())
    await wait_until(lambda: not target.open)


async def test_retired_client_completes_its_calls(connect):
    release = asyncio.Event()

    async def script(writer: asyncio.StreamWriter, _: bytes) -> None:
        await release.wait()
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    target, client = await connect(script)
    task = asyncio.create_task(client.send(make_call(), Load()))
    await wait_until(lambda: target.heads)
    retiring = asyncio.create_task(client.close_when_idle())
    await asyncio.sleep(0)
    release.set()
    assert (await task).status == 200
    await retiring
    await wait_until(lambda: not target.open)


_WHOLE_HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Type: a\r\nContent-Length: 12\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.0 200 OK\r\nServer: a\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n',
    b'HTTP/1.1 200 OK\nContent-Length: 0\n\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n',
)


@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('whole_head', _WHOLE_HEADS)
async def test_a_head_that_breaks_off_is_no_answer(connect, whole_head, kept):
    cuts = iter(range(len(whole_head)))

    async def script(writer: asyncio.StreamWriter, head: bytes) -> None:
        if kept and b'/first' in head:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            return
        cut = next(cuts)
        writer.write(whole_head[: cut // 2])
        await asyncio.sleep(0)
        writer.write(whole_head[cut // 2 : cut])
        writer.close()

    _, client = await connect(script)
    for _ in whole_head:
        if kept:
            await client.send(make_call(path='/first'), Load())
        with pytest.raises(TargetLostError):
            await client.send(make_call(), Load())
