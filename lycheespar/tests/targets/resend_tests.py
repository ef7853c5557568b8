"""Tests that the HTTP client does not resend requests by itself."""

from __future__ import annotations

import pytest

from lycheespar.call import Load
from lycheespar.errors import TargetLostError
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.tests.protocol.nodes import new_call
from standins.serving import serve_streams

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class _Target:
    """Answers the first request and closes the connection on the second."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(self, reader, writer) -> None:
        for answer in (ANSWER, b''):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            writer.write(answer)
        writer.close()


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'GET', 'POST'])
async def test_request_on_a_broken_connection_is_sent_once(method):
    target = _Target()
    server = await serve_streams(target.serve)
    host, port = server.sockets[0].getsockname()
    announcement = Announcement('a', 'team', 'service', f'{host}:{port}')
    client = TargetClient(announcement)
    call = new_call()
    call.method = method
    await client.send(call, Load())
    with pytest.raises(TargetLostError):
        await client.send(call, Load())
    assert target.requests == 2
    await client.close()
    server.close()
