"""Connections that are slow, silent, idle or stalled."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.configuration.routes import CallerLimits
from lycheespar.configuration.view import ConfigurationView
from lycheespar.http_limits import server as server_module
from lycheespar.http_limits.limits import RequestLimits
from lycheespar.tests.http_limits.clients import (
    caller_of,
    configuration,
    new_server,
    serving,
)
from lycheespar.tests.ingress.callers import GatedDispatch

HEAD = b'GET /get/0 HTTP/1.1\r\nHost: desk.team\r\n'
SHORT = CallerLimits(header_timeout_s=0.1, idle_timeout_s=0.3)
LONG = CallerLimits(header_timeout_s=60, idle_timeout_s=60)


@pytest.fixture(autouse=True)
def _frequent_checks(monkeypatch):
    monkeypatch.setattr(server_module, 'CHECK_INTERVAL_S', 0.02)


def _released() -> GatedDispatch:
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    return dispatch


@pytest.mark.parametrize('begin', [b'G', HEAD, HEAD + b'X: a\r\n'])
async def test_a_head_that_is_never_complete_is_refused(begin):
    """The time limit of the configuration was read and not used."""
    server = new_server(SHORT)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(begin)
        status, _, body = await caller.receive()
        assert (status, b'head_timeout' in body) == (408, True)
        assert await caller.is_closed()


async def test_a_head_that_arrives_byte_by_byte_is_refused():
    """Each byte seemed to be progress."""
    server = new_server(SHORT)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(HEAD)
        while not caller.reader._buffer:
            caller.writer.write(b'X')
            await asyncio.sleep(0.01)
        assert (await caller.receive())[0] == 408


@pytest.mark.parametrize('sent', [b'', b'\r\n', HEAD + b'\r\n'])
async def test_an_idle_connection_is_closed(sent):
    """The time limit of the configuration was read and not used."""
    server = new_server(SHORT, _released())
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(sent)
        if sent.startswith(b'GET'):
            assert (await caller.receive())[0] == 200
        assert await caller.is_closed()


async def test_empty_lines_keep_no_connection_open():
    """Nothing ever ended a connection with an empty line now and then."""
    server = new_server(SHORT)
    async with serving(server), caller_of(server) as caller:
        closed = asyncio.create_task(caller.is_closed())
        while not closed.done():
            caller.writer.write(b'\r\n')
            await asyncio.sleep(0.01)
        assert await closed


async def test_limits_of_a_new_configuration_apply_to_open_connections():
    """A connection would keep the limits with which it was opened."""
    view = ConfigurationView(configuration(LONG))
    server = new_server(view=view)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(b'GET /')
        await asyncio.sleep(0.1)
        view.update_if_newer(configuration(SHORT, 2))
        assert (await caller.receive())[0] == 408


async def test_a_request_in_progress_is_not_idle():
    """Neither its run nor its body is bounded by the limits of heads."""
    dispatch = GatedDispatch()
    server = new_server(SHORT, dispatch)
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(HEAD + b'\r\n')
        await dispatch.wait_for('/get/0')
        await asyncio.sleep(0.6)
        dispatch.release('/get/0')
        assert (await caller.receive())[0] == 200


async def test_a_connection_is_reused_within_the_limit():
    """Callers reuse those that were idle for four fifths of the limit."""
    server = new_server(CallerLimits(idle_timeout_s=0.5), _released())
    async with serving(server), caller_of(server) as caller:
        for _ in range(4):
            caller.writer.write(HEAD + b'\r\n')
            assert (await caller.receive())[0] == 200
            await asyncio.sleep(0.4)


async def test_a_head_that_waits_for_room_is_in_time():
    """Its time ran while the server itself did not read the rest."""
    dispatch = GatedDispatch()
    server = new_server(CallerLimits(header_timeout_s=0.1), dispatch)
    count = 40
    async with serving(server), caller_of(server) as caller:
        field = b'X: ' + b'a' * 15_000 + b'\r\n\r\n'
        caller.writer.write((HEAD + field) * count)
        await dispatch.wait_for('/get/0')
        await asyncio.sleep(0.4)
        dispatch.release('/get/0')
        statuses = {(await caller.receive())[0] for _ in range(count)}
        assert statuses == {200}


async def test_an_answer_that_is_not_read_ends_its_connection():
    """It kept its memory and its connection for ever."""
    dispatch = _released()
    dispatch.bodies['/get/0'] = b'x' * 20_000_000
    limits = RequestLimits(write_timeout_s=0.2)
    server = new_server(dispatch=dispatch, limits_of_port=limits)
    async with serving(server), caller_of(server) as caller:
        caller.writer.transport.pause_reading()
        caller.writer.write(HEAD + b'\r\n')
        async with asyncio.timeout(10):
            while not server._server.connections:
                await asyncio.sleep(0.01)
            while server._server.connections:
                await asyncio.sleep(0.01)
