"""Keys and quotas of teams, with the programs on a stand-in platform."""

from __future__ import annotations

import asyncio
import uuid

import aiohttp
import pytest

from lycheespar.tests.platform.documents_tests import (
    LIMITS,
    document,
    route,
    service,
    tenant,
)
from standins.platform import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    TEAM_HEADER,
    Machine,
    Site,
)

KEY, OTHER_KEY = 'first-key', 'second-key'
# Time in seconds within which a change is in force at all nodes.
IN_FORCE_S = 2
# Terms of a deployment: what may run beyond a limit in any window.
WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20


@pytest.fixture
async def site(tmp_path):
    """Run three control machines and three nodes with a target each."""
    planned = Site(tmp_path)
    for zone in ('a', 'b', 'c'):
        planned.add(zone, 'control')
        planned.add(zone, 'node', 'records')
    await planned.start()
    yield planned
    await planned.stop()


async def _configure(site: Site, *tenants) -> None:
    items = (route('r-1', timeout='3s', public=False), service(), LIMITS)
    sent = document('00000001', '00000000', *items, *tenants)
    assert (await site.call_operator_api('config.put', sent))[0] == 200
    await site.wait_until_ready()


async def _call(session, machine: Machine, key: str) -> int:
    headers = {
        'Host': 'a.example',
        ATTEMPT_ID_HEADER: uuid.uuid4().hex,
        DEADLINE_HEADER: '3000',
        TEAM_HEADER: 'forged',
    }
    if key:
        headers[KEY_HEADER] = key
    url = f'http://{machine.address("outbound")}/r-1/x'
    async with session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status


def _nodes(site: Site) -> list[Machine]:
    return [found for found in site.machines if found.role == 'node']


async def test_a_withdrawn_key_is_refused_on_connections_that_stay_open(site):
    await _configure(
        site, tenant('hule', api_keys=[KEY, OTHER_KEY], rate_per_s=0)
    )
    async with aiohttp.ClientSession() as session:
        for machine in _nodes(site):
            assert await _call(session, machine, KEY) == 200
            assert await _call(session, machine, '') == 401
            assert await _call(session, machine, 'unknown') == 401
        patch = {
            'version': '00000003',
            'base_version': '00000001',
            'upsert': {
                'resources': [
                    tenant('hule', api_keys=[OTHER_KEY], rate_per_s=0)
                ]
            },
        }
        assert (await site.call_operator_api('config.patch', patch))[0] == 200
        await asyncio.sleep(IN_FORCE_S)
        for machine in _nodes(site):
            assert await _call(session, machine, KEY) == 401
            assert await _call(session, machine, OTHER_KEY) == 200
    told = {team for target in site.targets for team in target.teams}
    assert told == {'hule'}
    assert [target.request_errors for target in site.targets] == [[], [], []]
    logs = ''.join(found.log.read_text() for found in site.machines)
    assert KEY not in logs
    assert OTHER_KEY not in logs


async def test_a_quota_holds_for_all_nodes_together(site):
    per_s, burst = 10, 10
    await _configure(
        site, tenant('hule', api_keys=[KEY], rate_per_s=per_s, burst=burst)
    )
    statuses: list[int] = []
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession() as session:
        began_at = loop.time()
        while loop.time() < began_at + WINDOW_S:
            calls = (_call(session, machine, KEY) for machine in _nodes(site))
            statuses.extend(await asyncio.gather(*calls))
            await asyncio.sleep(0.02)
        elapsed_s = loop.time() - began_at
    allowed = (per_s * elapsed_s + burst) * (1 + OVERAGE) + SLACK
    ran = sum(target.runs.total() for target in site.targets)
    assert ran <= allowed
    assert ran >= 0.8 * per_s * elapsed_s
    assert set(statuses) <= {200, 429, 503}
    assert statuses.count(429) > 0
