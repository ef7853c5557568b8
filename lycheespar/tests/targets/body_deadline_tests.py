"""Streamed answers of targets that are not whole at their deadline."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Load
from lycheespar.errors import DeadlineExceededError
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import READ_TIMEOUT_S, TargetClient
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.targets.client_tests import ScriptedTarget
from standins.cluster import wait_until

BUDGET_S = 0.3
LARGE = 300_000
HEADS = {
    'length': b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'connection': b'HTTP/1.1 200 OK\r\n\r\n',
}
PACES = {'silent': (1, 0), 'dripping': (10, 0.02), 'endless': (65536, 0)}


def _framed(framing, content):
    if framing == 'chunks':
        return f'{len(content):x}\r\n'.encode() + content + b'\r\n'
    return content


def _unfinished(framing, pace):
    size, pause_s = PACES[pace]

    async def script(writer, _):
        writer.write(HEADS[framing] + _framed(framing, b'x' * LARGE))
        while pace != 'silent':
            writer.write(_framed(framing, b'x' * size))
            await writer.drain()
            await asyncio.sleep(pause_s)

    return script


@pytest.fixture
async def connect():
    """Return a function that starts a scripted target and its client."""
    clients = []

    async def build(script):
        target = ScriptedTarget(script)
        await target.start()
        announced = Announcement('one', 'a', 'b', target.address)
        clients.append(TargetClient(announced))
        return target, clients[-1]

    yield build
    for client in clients:
        await client.close()


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('framing', HEADS)
async def test_a_body_that_is_not_whole_ends_at_the_deadline(
    connect, framing, pace
):
    """Callers were kept waiting for 20 s, or without end."""
    target, client = await connect(_unfinished(framing, pace))
    answer = await client.send(make_call(budget_s=BUDGET_S), Load())
    received = 0
    with pytest.raises(DeadlineExceededError):
        async with asyncio.timeout(READ_TIMEOUT_S / 2):
            async for chunk in answer.body:
                received += len(chunk)
    assert received >= LARGE
    await wait_until(lambda: not target.open)


@pytest.mark.parametrize('pace', PACES)
async def test_an_unread_body_that_is_not_whole_ends_at_the_deadline(
    connect, pace
):
    """A caller that does not read must not keep the target at work."""
    target, client = await connect(_unfinished('chunks', pace))
    answer = await client.send(make_call(budget_s=BUDGET_S), Load())
    await wait_until(lambda: not target.open)
    with pytest.raises(DeadlineExceededError):
        _ = [chunk async for chunk in answer.body]


@pytest.mark.parametrize('framing', HEADS)
async def test_a_body_that_is_whole_is_delivered_after_the_deadline(
    connect, framing
):
    """A caller that reads slowly gets what its target has finished."""
    content = b'x' * (100 * 1024)
    head = HEADS[framing].replace(b'1000000000000', str(len(content)).encode())
    end = b'0\r\n\r\n' if framing == 'chunks' else b''

    async def script(writer, _):
        writer.write(head + _framed(framing, content) + end)
        await writer.drain()
        if framing == 'connection':
            writer.close()

    _, client = await connect(script)
    call = make_call(budget_s=BUDGET_S)
    answer = await client.send(call, Load())
    loop = asyncio.get_running_loop()
    await wait_until(lambda: loop.time() > call.deadline + 0.1)
    assert b''.join([chunk async for chunk in answer.body]) == content
