"""Tests of answers to other requests and of bytes after an answer."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Load
from lycheespar.errors import TargetLostError
from lycheespar.profile import HeaderProfile
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.targets.client_tests import ScriptedTarget
from standins.cluster import wait_until

PROFILE = HeaderProfile(
    request_id='X-Caller-Ref',
    expected_target='X-Expected-Target',
    deadline='X-Left-Ms',
)


def _answer_to(head: bytes, *, other: str = '') -> bytes:
    """Return an answer with the id of the request, or with another id."""
    lines = head.decode().split('\r\n')
    pairs = dict(line.lower().split(': ', 1) for line in lines if ': ' in line)
    identity = other or pairs['x-caller-ref']
    return (
        f'HTTP/1.1 200 OK\r\nX-Caller-Ref: {identity}\r\n'
        'Content-Length: 2\r\n\r\nok'
    ).encode()


async def _connect(script):
    target = ScriptedTarget(script)
    await target.start()
    announcement = Announcement('one', 'a', 'b', target.address)
    return target, TargetClient(announcement, PROFILE)


def _call(identity):
    call = make_call()
    call.headers = (('X-Caller-Ref', identity), ('X-Left-Ms', '99999'))
    return call


async def test_answer_with_another_request_id_is_rejected():
    async def script(writer, head):
        writer.write(_answer_to(head, other='b'))
        await writer.drain()

    target, client = await _connect(script)
    with pytest.raises(TargetLostError):
        await client.send(_call('a'), Load())
    await wait_until(lambda: not target.open)
    await client.close()


async def test_connection_with_bytes_after_an_answer_is_not_reused():
    async def script(writer, head):
        writer.write(_answer_to(head))
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(_answer_to(head))
        await writer.drain()

    target, client = await _connect(script)
    for identity in ('a', 'b', 'c'):
        answer = await client.send(_call(identity), Load())
        assert dict(answer.headers)['X-Caller-Ref'] == identity
        await asyncio.sleep(0.03)
    assert len(target.heads) == 3
    await client.close()


def _refusal(head: bytes = b'') -> bytes:
    """Return a refusal, with the id of the request in a given head."""
    lines = head.decode().split('\r\n')
    ids = [line for line in lines if line.lower().startswith('x-caller-ref')]
    named = ''.join(f'{line}\r\n' for line in ids)
    return (
        f'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n{named}Content-Length: 0\r\n\r\n'
    ).encode()


@pytest.mark.parametrize('status', [408, 421, 429, 503])
async def test_a_copy_of_a_refusal_is_not_read_as_the_next_answer(status):
    """Targets with this profile do not name the request in an answer."""
    refusal = _refusal().replace(b'503', str(status).encode())
    refused = []

    async def script(writer, head):
        if not refused:
            refused.append(writer)
            writer.write(refusal)
        elif writer in refused:
            writer.write(refusal)
        else:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        await writer.drain()

    target = ScriptedTarget(script)
    await target.start()
    client = TargetClient(Announcement('one', 'a', 'b', target.address))
    assert (await client.send(make_call(), Load())).status == status
    assert (await client.send(make_call(), Load())).status == 200
    await client.close()


async def test_a_copy_of_a_refusal_is_no_promise_for_the_next_request():
    heads = []

    async def script(writer, head):
        heads.append(head)
        writer.write(_refusal(heads[0]))
        await writer.drain()

    _, client = await _connect(script)
    assert (await client.send(_call('a'), Load())).status == 503
    with pytest.raises(TargetLostError):
        await client.send(_call('b'), Load())
    await client.close()


async def test_target_receives_its_own_name_and_the_remaining_time():
    async def script(writer, head):
        writer.write(_answer_to(head))
        await writer.drain()

    target, client = await _connect(script)
    await client.send(_call('a'), Load())
    head = target.heads[0].decode().lower()
    assert 'x-expected-target: one' in head
    assert head.count('x-left-ms') == 1
    assert 'x-left-ms: 99999' not in head
    await client.close()
