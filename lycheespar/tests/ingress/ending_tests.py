"""Ends of callers' connections in stops and behind refusals."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.tests.ingress.callers import GatedDispatch, connected
from lycheespar.tests.ingress.uploads import uploading

LIMIT_BYTES = 400_000
PIECE_BYTES = 10_000


async def test_a_stop_takes_a_short_request_whose_chunks_have_arrived():
    """It was refused as if its body were still on its way."""
    dispatch = GatedDispatch()
    dispatch.release('/book')
    body = b'3\r\nabc\r\n0\r\n\r\n'
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        await uploader.begin('/book', 3)
        await uploader.send(b'abc')
        assert (await uploader.read_answer())[0] == 200
        uploader.server.drain(2)
        head = (
            b'POST /book HTTP/1.1\r\nHost: desk.team\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await uploader.send(head + body)
        assert (await uploader.read_answer())[0] == 200


@pytest.mark.parametrize('over_bytes', [100_000, 350_000, 600_000])
async def test_a_whole_upload_over_the_limit_gets_its_refusal(over_bytes):
    """The refusal was lost once as much as the limit had been discarded."""
    dispatch = GatedDispatch()
    async with uploading(dispatch, LIMIT_BYTES) as uploader:
        total = LIMIT_BYTES + over_bytes
        await uploader.begin('/book', total)
        for _ in range(total // PIECE_BYTES):
            await uploader.send(b'x' * PIECE_BYTES)
        assert (await uploader.read_answer())[0] == 413


async def test_a_request_behind_a_streamed_answer_is_answered_in_a_stop():
    """It was read and discarded on a connection that was to be kept open."""
    dispatch = GatedDispatch()
    dispatch.streams['/get/0'] = [b'y' * 1000]
    dispatch.release('/get/0', '/book')
    async with connected(dispatch) as caller:
        caller.send('GET /get/0')
        _, head, _ = await caller.receive()
        assert b'close' not in head.lower()
        caller.server.drain(60)
        stopping = asyncio.create_task(caller.server.wait_until_idle(0))
        await asyncio.sleep(0.05)
        caller.send('POST /book')
        status, _, _ = await caller.receive()
        assert status == 503
        caller.writer.close()
        await stopping
