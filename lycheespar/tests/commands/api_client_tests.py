"""Answers of control hosts to the operators' client."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from lycheespar.commands.api_client import ApiClient
from lycheespar.configuration.changes import Command, TakeOutDataCentre
from lycheespar.errors import ControlError, NoQuorumError
from lycheespar.tests.targets.client_tests import ScriptedTarget

OK = b'HTTP/1.1 200 OK\r\n'
COMMAND = Command('1', 0, 'operator', TakeOutDataCentre('ijmuiden'))


@pytest.fixture
async def connect() -> AsyncIterator:
    """Return a function that starts a host that sends given bytes."""

    async def start(sent: bytes) -> ApiClient:
        async def script(writer: asyncio.StreamWriter, _: bytes) -> None:
            writer.write(sent)
            await writer.drain()
            writer.close()

        host = ScriptedTarget(script)
        await host.start()
        return ApiClient([host.address])

    yield start


@pytest.mark.parametrize(
    'sent',
    [
        b'HTTP/1.1 000 OK\r\nContent-Length: 14\r\n\r\n{"revision":1}',
        b'HTTP/1.1 600 OK\r\nContent-Length: 14\r\n\r\n{"revision":1}',
        OK + b'Content-Length : 13\r\n\r\n{"revision":12}',
        OK + b'X-Any: \x01\r\nContent-Length: 14\r\n\r\n{"revision":1}',
        OK + b'Content-Length: 13\r\n\r\n{"revision":1',
        OK + b'Content-Length: 16\r\n\r\n{"revision":"1"}',
        OK + b'Content-Length: 2\r\n\r\n{}',
        OK + b'Content-Length: 0\r\n\r\n',
    ],
)
async def test_the_outcome_of_an_invalid_answer_is_unknown(connect, sent):
    """A change that may be in force was reported as failed, or accepted."""
    client = await connect(sent)
    with pytest.raises(NoQuorumError):
        await client.change(COMMAND)


async def test_a_configuration_that_is_not_json_has_a_code(connect):
    client = await connect(OK + b'Content-Length: 2\r\n\r\nno')
    with pytest.raises(NoQuorumError):
        await client.configuration()


async def test_an_error_that_is_not_json_has_a_code(connect):
    head = b'HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n'
    client = await connect(head + b'no')
    with pytest.raises(ControlError):
        await client.change(COMMAND)


async def test_a_valid_answer_is_read(connect):
    client = await connect(OK + b'Content-Length: 14\r\n\r\n{"revision":7}')
    assert await client.change(COMMAND) == 7
