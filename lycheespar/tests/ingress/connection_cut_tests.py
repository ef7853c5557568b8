"""Events about callers' connections that the node closes while in use."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.ingress import body as body_module
from lycheespar.telemetry.connection_events import ConnectionCut
from lycheespar.telemetry.event_log import EventLog
from lycheespar.tests.ingress.callers import (
    TIMEOUT_S,
    GatedDispatch,
    connected,
)
from lycheespar.tests.ingress.uploads import uploading


@pytest.fixture
def cuts(monkeypatch):
    """Return the events of connections that were closed while in use."""
    cuts = []

    def record(_, event):
        if isinstance(event, ConnectionCut):
            cuts.append(event)

    monkeypatch.setattr(EventLog, 'write', record)
    return cuts


async def _wait_for(cuts):
    async with asyncio.timeout(TIMEOUT_S):
        while not cuts:
            await asyncio.sleep(0.01)
    (cut,) = cuts
    return cut


async def test_the_end_of_a_stop_names_the_requests_that_it_aborts(cuts):
    dispatch = GatedDispatch()
    async with connected(dispatch) as caller:
        caller.send('POST /book', 'GET /get/1')
        await dispatch.wait_for('/book')
        caller.server.drain(60)
        await caller.server.stop()
        cut = await _wait_for(cuts)
    assert cut.reason == 'end of the stop'
    assert len(cut.unanswered) == 2
    assert cut.stopping


async def test_a_body_whose_rest_does_not_arrive_is_reported(cuts, monkeypatch):
    dispatch = GatedDispatch()
    dispatch.release('/book')
    monkeypatch.setattr(body_module, 'BODY_STALL_TIMEOUT_S', 0.2)
    async with uploading(dispatch, 100_000) as uploader:
        await uploader.begin('/book', 70_000)
        status, _, _ = await uploader.read_answer()
        assert status == 200
        cut = await _wait_for(cuts)
    assert cut.reason == 'the rest of a body was not read'
    assert cut.answered
    assert not cut.body_complete
    assert not cut.stopping


async def test_connections_that_end_in_order_are_not_reported(cuts):
    dispatch = GatedDispatch()
    dispatch.release('/get/0', '/get/1')
    async with connected(dispatch) as caller:
        caller.send('GET /get/0')
        await caller.bodies(1)
        caller.send('GET /get/1', headers='Connection: close\r\n')
        await caller.bodies(1)
        assert await caller.is_closed()
    async with connected(dispatch) as caller:
        caller.send('GET /get/0')
        await caller.bodies(1)
        await caller.server.stop()
    assert not cuts
