"""Tests with announcements and load reports that can't be right.

Another program may write them: deeply nested, with numbers that are too large,
or with a port out of range. They are rejected, and what was known before holds.
"""

from __future__ import annotations

import json

import aiohttp
import msgspec
import pytest

from lycheespar.profile import HeaderProfile
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.api import AnnouncementApi
from lycheespar.targets.load import LoadReport, decode_body, decode_headers
from lycheespar.tests.odd_values import BEYOND_64_BITS, DEEP, MANY_DIGITS

LONG_NAME = 'n' * 100_000

ANNOUNCEMENT = {
    'target': 'i-1',
    'team': 'a',
    'service': 'records',
    'address': '127.0.0.1:8080',
    'slots': 12,
}


def changed(entry, **changes):
    """Return an entry as JSON with some fields changed or added."""
    merged = dict(entry)
    for key, changed in changes.items():
        nested = isinstance(changed, dict)
        merged[key] = entry[key] | changed if nested else changed
    return json.dumps(merged).replace('"DEEP"', DEEP)


ODD_ANNOUNCEMENTS = {
    'deep': DEEP,
    'deep unknown field': changed(ANNOUNCEMENT, other='DEEP'),
    'slots beyond 64 bits': changed(ANNOUNCEMENT, slots=BEYOND_64_BITS),
    'connections beyond 64 bits': changed(
        ANNOUNCEMENT, connections=BEYOND_64_BITS
    ),
    'port out of range': changed(ANNOUNCEMENT, address='127.0.0.1:99999'),
    'port zero': changed(ANNOUNCEMENT, address='127.0.0.1:0'),
    'port with many digits': changed(
        ANNOUNCEMENT, address=f'127.0.0.1:{MANY_DIGITS}'
    ),
    'endless lease': changed(ANNOUNCEMENT, lease_s=1e300),
    'endless cold start': changed(ANNOUNCEMENT, cold_s=1e300),
    'long version': changed(ANNOUNCEMENT, version=LONG_NAME),
}


async def post_all(server, path, valid, odd):
    """Post a valid entry, odd ones and the valid one; return the statuses."""
    await server.start(Address('127.0.0.1', 0))
    port = server._runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        statuses = []
        for body in (valid, odd, valid):
            url = f'http://127.0.0.1:{port}{path}'
            async with session.post(url, data=body) as response:
                statuses.append(response.status)
    await server.stop()
    return statuses


@pytest.mark.parametrize('odd', ODD_ANNOUNCEMENTS)
async def test_an_odd_announcement_is_rejected_and_the_target_stays_known(odd):
    target = LocalTarget()
    statuses = await post_all(
        AnnouncementApi(target),
        '/v1/announce',
        json.dumps(ANNOUNCEMENT),
        ODD_ANNOUNCEMENTS[odd],
    )
    assert statuses == [200, 422, 200]
    assert target.current.slots == 12


@pytest.mark.parametrize(
    'body',
    [
        DEEP,
        f'{{"other":{DEEP}}}',
        f'{{"running":{BEYOND_64_BITS}}}',
        f'{{"waiting":{BEYOND_64_BITS}}}',
        '{"pace":1e300}',
        '{"cold_s":1e300}',
    ],
)
def test_an_odd_load_report_is_an_error_of_the_decoder(body):
    with pytest.raises(msgspec.DecodeError):
        decode_body(body.encode())


@pytest.mark.parametrize('text', [MANY_DIGITS, str(BEYOND_64_BITS), '²'])
def test_odd_load_headers_count_as_not_reported(text):
    profile = HeaderProfile(load='X-Load', cold_ms='X-Cold')
    for load in (text, f'{text},0,8', f'1,0,8,{text}'):
        headers = {'X-Load': load, 'X-Cold': text}
        assert decode_headers(headers, profile) == LoadReport()
