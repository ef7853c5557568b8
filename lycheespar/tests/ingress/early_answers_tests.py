"""Answers that are ready before the body of their request has been read."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.ingress.ending import MAX_UNREAD_BYTES
from lycheespar.tests.ingress.callers import (
    TIMEOUT_S,
    GatedDispatch,
)
from lycheespar.tests.ingress.uploads import uploading

LIMIT_BYTES = 400_000
BODY_BYTES = 300_000
PIECE_BYTES = 10_000
# Time in seconds in which the former code gave up the rest of a body.
FORMER_LIMIT_S = 2.2


def _chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'x' * size)


async def _stop(server) -> asyncio.Task:
    server.drain(60)
    stopping = asyncio.create_task(server.wait_until_idle(0))
    await asyncio.sleep(0.1)
    return stopping


async def test_an_answer_ahead_of_its_body_survives_a_slow_upload():
    """The connection was reset 2 s after the answer, within the upload."""
    dispatch = GatedDispatch()
    dispatch.release('/book', '/get/1')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', BODY_BYTES)
        await dispatch.wait_for('/book')
        await asyncio.sleep(FORMER_LIMIT_S)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await uploader.send(b'x' * PIECE_BYTES)
        status, _, body = await uploader.read_answer()
        assert (status, body) == (200, b'/book')
        await uploader.begin('/get/1', 0)
        assert (await uploader.read_answer())[2] == b'/get/1'


@pytest.mark.parametrize('refused', [False, True])
@pytest.mark.parametrize('chunked', [False, True])
async def test_a_stop_awaits_uploads_that_are_answered_already(
    chunked, refused
):
    """Such a connection counted as idle, and was reset."""
    dispatch = GatedDispatch()
    if refused:
        dispatch.refused.add('/book')
    dispatch.release('/book')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', -1 if chunked else BODY_BYTES)
        await dispatch.wait_for('/book')
        await asyncio.sleep(0.05)
        stopping = await _stop(uploader.server)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            piece = b'x' * PIECE_BYTES
            await uploader.send(_chunk(len(piece)) if chunked else piece)
        if chunked:
            await uploader.send(b'0\r\n\r\n')
        status, _, _ = await uploader.read_answer()
        assert status == (503 if refused else 200)
        assert await uploader.is_closed()
        uploader.close()
        await stopping


async def test_a_stop_that_refuses_an_upload_lets_its_caller_read_that():
    """Its caller could not know that nothing had run."""
    dispatch = GatedDispatch()
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/get/0', 0)
        dispatch.release('/get/0')
        await uploader.read_answer()
        uploader.server.drain(0)
        await uploader.begin('/book', BODY_BYTES)
        await asyncio.sleep(0.05)
        stopping = await _stop(uploader.server)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await uploader.send(b'x' * PIECE_BYTES)
        status, head, _ = await uploader.read_answer()
        assert status == 503
        assert b'connection: close' in head
        assert await uploader.is_closed()
        uploader.close()
        await stopping
    assert dispatch.paths == ['/get/0']


@pytest.mark.parametrize(
    ('headers', 'body_bytes', 'pause_s', 'status'),
    [
        ('', LIMIT_BYTES + BODY_BYTES, FORMER_LIMIT_S, 413),
        ('X-Deadline-Ms: soon\r\n', BODY_BYTES, FORMER_LIMIT_S, 400),
        ('Content-Length: 7\r\n', BODY_BYTES, 0.5, 400),
    ],
)
async def test_a_caller_that_uploads_gets_the_whole_refusal(
    headers, body_bytes, pause_s, status
):
    """The refusal was lost if the upload lasted for longer than 2 s."""
    dispatch = GatedDispatch()
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', body_bytes, headers)
        await asyncio.sleep(pause_s)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await uploader.send(b'x' * PIECE_BYTES)
        assert (await uploader.read_answer())[0] == status
    assert not dispatch.paths


async def test_a_large_answer_ahead_of_its_body_arrives_whole():
    """The caller's window does not take it before the body is sent."""
    dispatch = GatedDispatch()
    answer = dispatch.bodies['/book'] = b'y' * 3_000_000
    dispatch.release('/book')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', BODY_BYTES)
        await dispatch.wait_for('/book')
        stopping = await _stop(uploader.server)
        await asyncio.sleep(FORMER_LIMIT_S)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await uploader.send(b'x' * PIECE_BYTES)
        _, _, body = await uploader.read_answer()
        assert body == answer
        assert await uploader.is_closed()
        uploader.close()
        await stopping


async def test_a_refusal_in_place_of_100_continue_ends_the_connection():
    """A request behind it would be read as the body that was not sent."""
    dispatch = GatedDispatch()
    dispatch.refused.add('/book')
    dispatch.release('/book', '/get/1')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', BODY_BYTES, 'Expect: 100-continue\r\n')
        status, head, _ = await uploader.read_answer()
        assert status == 503
        assert b'connection: close' in head
        await uploader.begin('/get/1', 0)
        assert await uploader.is_closed()
    assert dispatch.paths == ['/book']


async def test_requests_behind_an_upload_are_answered_in_a_stop():
    """They were read with the rest of the body, after its answer."""
    dispatch = GatedDispatch()
    dispatch.release('/book', '/get/1')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', BODY_BYTES)
        assert (await uploader.read_answer())[0] == 200
        stopping = await _stop(uploader.server)
        await uploader.send(b'x' * BODY_BYTES)
        await uploader.begin('/get/1', 0)
        status, head, _ = await uploader.read_answer()
        assert status == 503
        assert b'connection: close' in head
        assert await uploader.is_closed()
        uploader.close()
        await stopping


async def test_a_stop_refuses_an_upload_that_it_may_not_finish():
    """Short uploads of its class told nothing of it; the stop cut it off."""
    dispatch = GatedDispatch()
    dispatch.release('/book')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', 3)
        await uploader.send(b'abc')
        assert (await uploader.read_answer())[0] == 200
        uploader.server.drain(2)
        await uploader.begin('/book', BODY_BYTES)
        assert (await uploader.read_answer())[0] == 503
    assert dispatch.paths == ['/book']


async def test_a_body_without_end_is_not_discarded_forever():
    """Chunks are read up to the limit of bodies, then the connection ends."""
    dispatch = GatedDispatch()
    dispatch.release('/book')
    sent = 0
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', -1)
        assert (await uploader.read_answer())[0] == 200
        with pytest.raises(OSError):
            while sent < 40 * LIMIT_BYTES:
                await uploader.send(_chunk(PIECE_BYTES))
                sent += PIECE_BYTES


async def test_a_stop_answers_the_request_of_a_connection_in_use():
    """Unread bytes behind the answer reset a connection that is closed."""
    dispatch = GatedDispatch()
    answer = dispatch.bodies['/get/0'] = b'y' * 200_000
    dispatch.release('/get/0')
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/get/0', 0)
        await dispatch.wait_for('/get/0')
        await asyncio.sleep(0.1)
        stopping = await _stop(uploader.server)
        await uploader.send(b'GET /get/1 HTTP/1.1\r\n')
        await asyncio.sleep(0.1)
        _, _, body = await uploader.read_answer()
        assert body == answer
        assert await uploader.is_closed()
        uploader.close()
        async with asyncio.timeout(TIMEOUT_S):
            await stopping


async def test_a_caller_that_sends_on_after_its_refusal_is_cut_off():
    """What is no request must not be read without a bound."""
    dispatch = GatedDispatch()
    sent = 0
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.send(b'nonsense\r\n\r\n')
        assert (await uploader.read_answer())[0] == 400
        with pytest.raises(OSError):
            while sent < 20 * MAX_UNREAD_BYTES:
                await uploader.send(b'x' * PIECE_BYTES)
                sent += PIECE_BYTES
