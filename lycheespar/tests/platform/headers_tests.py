"""Tests of the headers in which the platform's targets give notices."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Load
from lycheespar.errors import InvalidAnswerError
from lycheespar.platform.headers import PLATFORM_PROFILE
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.targets.load import decode_headers
from lycheespar.targets.notices import Notices, read_notices
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.targets.client_tests import ScriptedTarget
from standins.cluster import wait_until


@pytest.mark.parametrize(
    ('headers', 'notices'),
    [
        ({}, Notices()),
        ({'server-limit': ' 11.6 '}, Notices(11.6)),
        ({'Server-Limit': '0'}, Notices(0)),
        ({'Server-Limit': '-1'}, Notices()),
        ({'Server-Limit': 'nan'}, Notices()),
        ({'Server-Limit': 'inf'}, Notices()),
        ({'Server-Limit': 'few'}, Notices()),
        ({'Server-Leaving': '1'}, Notices(leaving=True)),
        ({'Server-Leaving': '0', 'Server-Limit': '3'}, Notices(3)),
    ],
)
def test_notices_of_a_target_are_read_and_unreadable_ones_ignored(
    headers, notices
):
    assert read_notices(headers.items(), PLATFORM_PROFILE, 't') == notices
    assert decode_headers(headers, PLATFORM_PROFILE).notices == notices


async def test_an_encoded_body_is_no_answer():
    """Callers got it as a success with a body that was not the target's."""
    sent = (
        f'HTTP/1.1 200 OK\r\n{PLATFORM_PROFILE.request_id}: 1\r\n'
        'Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok'
    )

    async def script(writer: asyncio.StreamWriter, _: bytes) -> None:
        writer.write(sent.encode())

    target = ScriptedTarget(script)
    await target.start()
    client = TargetClient(
        Announcement('one', 'a', 'b', target.address), PLATFORM_PROFILE
    )
    call = make_call()
    call.headers = ((PLATFORM_PROFILE.request_id, '1'),)
    with pytest.raises(InvalidAnswerError):
        await client.send(call, Load())
    await wait_until(lambda: not target.open)
    await client.close()
