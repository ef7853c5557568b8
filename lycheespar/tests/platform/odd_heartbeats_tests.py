"""Tests with heartbeats that can't be right, as `odd_entries_tests`."""

from __future__ import annotations

import json

import pytest

from lycheespar.platform.heartbeats import HeartbeatServer
from lycheespar.targets.announcement import LocalTarget
from lycheespar.tests.departures import StoredDepartures
from lycheespar.tests.odd_values import (
    BEYOND_64_BITS,
    DEEP,
    MANY_DIGITS,
    UNKNOWN_VALUES,
    with_unknown_fields,
)
from lycheespar.tests.targets.odd_entries_tests import (
    LONG_NAME,
    changed,
    post_all,
)

HEARTBEAT = {
    'address': '127.0.0.1:8080',
    'info': {'service': 'records', 'version': 'v1', 'zone': 'z', 'slots': 12},
    'status': {'state': 'ready', 'sequence': 2, 'cold_remaining': '0ms'},
    'born': 1000,
}
ODD_HEARTBEATS = {
    'deep': DEEP,
    'deep unknown field': changed(HEARTBEAT, other='DEEP'),
    'deep known field': changed(HEARTBEAT, address='DEEP'),
    'slots beyond 64 bits': changed(HEARTBEAT, info={'slots': BEYOND_64_BITS}),
    'many slots': changed(HEARTBEAT, info={'slots': 10**9}),
    'infinite slots': changed(HEARTBEAT, info={'slots': 12}).replace(
        '12', '1e400'
    ),
    'sequence beyond 64 bits': changed(
        HEARTBEAT, status={'sequence': BEYOND_64_BITS}
    ),
    'start beyond 64 bits': changed(HEARTBEAT, born=BEYOND_64_BITS),
    'port out of range': changed(HEARTBEAT, address='127.0.0.1:99999'),
    'negative port': changed(HEARTBEAT, address='127.0.0.1:-1'),
    'port zero': changed(HEARTBEAT, address='127.0.0.1:0'),
    'port with many digits': changed(
        HEARTBEAT, address=f'127.0.0.1:{MANY_DIGITS}'
    ),
    'endless cold start': changed(
        HEARTBEAT, status={'cold_remaining': f'{MANY_DIGITS}s'}
    ),
    'long version': changed(HEARTBEAT, info={'version': LONG_NAME}),
    'long service': changed(HEARTBEAT, info={'service': LONG_NAME}),
}


@pytest.mark.parametrize('odd', ODD_HEARTBEATS)
async def test_an_odd_heartbeat_is_rejected_and_the_target_stays_known(odd):
    target = LocalTarget()
    server = HeartbeatServer(target, '', 1.5, StoredDepartures())
    statuses = await post_all(
        server,
        '/api/rpc?call=instances.heartbeat&of=i-1',
        json.dumps(HEARTBEAT),
        ODD_HEARTBEATS[odd],
    )
    assert statuses == [200, 400, 200]
    assert target.current.slots == 12


async def test_a_target_with_a_long_name_is_rejected():
    target = LocalTarget()
    statuses = await post_all(
        HeartbeatServer(target, '', 1.5, StoredDepartures()),
        f'/api/rpc?call=instances.heartbeat&of={"n" * 2000}',
        json.dumps(HEARTBEAT),
        json.dumps(HEARTBEAT),
    )
    assert statuses == [400, 400, 400]
    assert target.current is None


@pytest.mark.parametrize('value', UNKNOWN_VALUES, ids=repr)
async def test_a_heartbeat_with_an_unknown_field_at_any_depth_is_used(value):
    for heartbeat in with_unknown_fields(HEARTBEAT, value):
        target = LocalTarget()
        statuses = await post_all(
            HeartbeatServer(target, '', 1.5, StoredDepartures()),
            '/api/rpc?call=instances.heartbeat&of=i-1',
            json.dumps(heartbeat),
            json.dumps(heartbeat),
        )
        assert statuses == [200, 200, 200]
        assert target.current.slots == 12
