"""Runs the programs as processes of their own on a stand-in platform."""

from __future__ import annotations

import asyncio
import json
import shutil
import uuid

import aiohttp
import pytest

from lycheespar.tests.platform.documents_tests import (
    LIMITS,
    document,
    route,
    service,
)
from standins.cluster import wait_until
from standins.platform import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    RESPONSE_SEAL_HEADER,
    Machine,
    Site,
)

HOST = {'Host': 'a.example'}


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


async def _configure(site: Site) -> None:
    items = (
        route('r-1', timeout='3s'),
        route('r-2', route_type='non_idempotent', timeout='3s'),
        service(),
        LIMITS,
    )
    sent = document('00000001', '00000000', *items)
    status, _ = await site.call_operator_api('config.put', sent)
    assert status == 200
    await site.wait_until_ready()


async def _call(machine: Machine, path: str = '/r-1/x', method: str = 'GET'):
    """Send one request; return its id, status and seal."""
    identity = uuid.uuid4().hex
    headers = HOST | {ATTEMPT_ID_HEADER: identity, DEADLINE_HEADER: '3000'}
    url = f'http://{machine.address("outbound")}{path}'
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=headers) as answer,
    ):
        await answer.read()
        return (
            identity,
            answer.status,
            answer.headers.get(RESPONSE_SEAL_HEADER, ''),
        )


def _nodes(site: Site) -> list[Machine]:
    return [found for found in site.machines if found.role == 'node']


async def test_each_request_runs_once_without_faults(site):
    await _configure(site)
    for machine in _nodes(site) * 5:
        for path, method in (('/r-1/x', 'GET'), ('/r-2/x', 'POST')):
            identity, status, seal = await _call(machine, path, method)
            assert status == 200
            assert seal.endswith(identity)
    runs = sum(
        (target.runs for target in site.targets),
        start=type(site.targets[0].runs)(),
    )
    assert max(runs.values()) == 1
    assert [target.request_errors for target in site.targets] == [[], [], []]
    assert len([found for found in site.targets if found.runs]) > 1


async def test_the_configuration_is_changed_and_read_back(site):
    await _configure(site)
    patch = {
        'version': '00000003',
        'base_version': '00000001',
        'upsert': {'resources': [route('r-9')]},
        'remove': {'routes': ['r-1']},
    }
    assert (await site.call_operator_api('config.patch', patch))[0] == 200
    assert (await site.call_operator_api('config.patch', patch))[0] == 200
    other = patch | {'upsert': {'resources': [route('r-8')]}}
    assert (await site.call_operator_api('config.patch', other))[0] == 412
    status, body = await site.call_operator_api('config.get')
    read = json.loads(body)
    names = [item['metadata'].get('name') for item in read['resources']]
    assert (status, read['version']) == (200, '00000003')
    assert names == ['r-2', 'r-9', 'records', None]
    for machine in _nodes(site):
        async with asyncio.timeout(10):
            while (await _call(machine, '/r-9/x'))[1] != 200:
                await asyncio.sleep(0.05)
        assert (await _call(machine))[1] == 404


async def test_evacuated_zone_gets_no_requests(site):
    await _configure(site)
    assert (await site.call_operator_api('evacuate.start&of=a'))[0] == 200
    evacuated = site.targets[0]
    async with asyncio.timeout(10):
        while 'configuration_taken' not in _logged_event(_nodes(site)):
            await asyncio.sleep(0.05)
    before = evacuated.runs.total()
    for machine in _nodes(site) * 6:
        assert (await _call(machine))[1] == 200
    assert evacuated.runs.total() == before
    assert (await site.call_operator_api('evacuate.end&of=a'))[0] == 200


def _logged_event(machines: list[Machine]) -> str:
    """Return the event of the evacuation once all nodes have logged it."""
    logged = all('"out":["a"]' in found.log.read_text() for found in machines)
    return 'configuration_taken' if logged else ''


async def test_configuration_survives_the_loss_of_a_control_disk(site):
    await _configure(site)
    lost = site.seeds[0]
    lost.kill()
    shutil.rmtree(lost.data)
    lost.start()
    status, body = await site.call_operator_api('config.get')
    assert (status, json.loads(body)['version']) == (200, '00000001')
    async with asyncio.timeout(20):
        while 'is to vote' not in ''.join(
            found.log.read_text() for found in site.seeds
        ):
            await asyncio.sleep(0.1)


async def test_nodes_serve_again_after_all_machines_were_killed(site):
    await _configure(site)
    for machine in site.machines:
        machine.kill()
    for machine in site.machines:
        machine.log.write_text('')
        machine.start()
    await site.wait_until_ready()
    for machine in _nodes(site):
        assert (await _call(machine))[1] == 200


async def test_stopping_a_node_beside_a_live_target_fails_no_request(site):
    await _configure(site)
    stopping = _nodes(site)[0]
    for target in site.targets:
        target.work_s = 0.3
    statuses: list[int] = []

    async def send_requests() -> None:
        while not stopping.ended:
            try:
                statuses.append((await _call(stopping))[1])
            except aiohttp.ClientConnectorError:
                # The port is closed: nothing was sent.
                return

    callers = [asyncio.create_task(send_requests()) for _ in range(6)]
    await asyncio.sleep(0.5)
    stopping.terminate()
    await asyncio.gather(*callers)
    assert set(statuses) == {200}


async def test_a_node_that_is_stopped_while_it_starts_takes_no_requests(
    tmp_path,
):
    """It would be killed at the end of the grace period with its requests."""
    planned = Site(tmp_path)
    # Not started, so the node waits for its configuration.
    planned.add('a', 'control')
    machine = planned.add('a', 'node', 'records')
    machine.start()
    try:
        await wait_until(lambda: _accepts(machine, 'ready_addr'))
        assert not await _accepts(machine, 'outbound')
        machine.terminate()
        while not machine.ended:
            assert not await _accepts(machine, 'outbound')
            await asyncio.sleep(0.02)
    finally:
        await planned.stop()


async def test_programs_run_without_standard_streams(tmp_path):
    """They ended, or wrote log lines to the first file that they opened."""
    planned = Site(tmp_path)
    planned.without_streams = True
    planned.add('a', 'control')
    planned.add('a', 'node', 'records')
    await planned.start()
    try:
        sent = document('00000001', '00000000', route('r-1'), service(), LIMITS)
        status, _ = await planned.call_operator_api('config.put', sent)
        assert status == 200
        await planned.wait_until_node_ready(planned.machines[1])
    finally:
        await planned.stop()


async def _accepts(machine: Machine, name: str) -> bool:
    """Whether a listener of a machine's program accepts connections."""
    host, port = machine.address(name).split(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def test_draining_target_gets_no_new_requests(site):
    await _configure(site)
    draining = site.targets[1]
    draining.state = 'draining'
    async with aiohttp.ClientSession() as session:
        assert await draining.send_heartbeat(session) == 200
    before = draining.runs.total()
    for machine in _nodes(site) * 6:
        assert (await _call(machine))[1] == 200
    assert draining.runs.total() == before


async def test_a_limit_that_a_target_names_holds_for_all_nodes_together(site):
    await _configure(site)
    for target in site.targets:
        target.work_s = 0.1
    limited = site.targets[1]
    limited.notices = {'Server-Limit': '2.5'}
    while not limited.runs:
        await asyncio.gather(*map(_call, _nodes(site)))
    before = limited.runs.total()
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    statuses: list[int] = []
    while loop.time() < began_at + 4:
        calls = await asyncio.gather(*map(_call, _nodes(site) * 10))
        statuses.extend(status for _, status, _ in calls)
    allowed = 1.5 * 2.5 * (loop.time() - began_at) + 5
    runs = limited.runs.total() - before
    assert 1 <= runs <= allowed
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > runs


async def test_a_target_that_says_it_leaves_gets_no_new_requests(site):
    await _configure(site)
    leaving = site.targets[1]
    leaving.notices = {'Server-Leaving': '1'}
    while not leaving.runs:
        await asyncio.gather(*map(_call, _nodes(site)))
    before = leaving.runs.total()
    for machine in _nodes(site) * 6:
        assert (await _call(machine))[1] == 200
    assert leaving.runs.total() == before


async def test_metrics_are_served(site):
    await _configure(site)
    machine = _nodes(site)[0]
    await _call(machine)
    url = f'http://{machine.ip}:9464/metrics'
    async with (
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        text = await response.text()
    assert 'lycheespar_call_total' in text
    assert 'lycheespar_configuration_label 1.0' in text


@pytest.mark.parametrize('leaves_by', ['draining', 'deregistration'])
async def test_a_late_heartbeat_after_a_restart_brings_no_leaving_target_back(
    site, leaves_by
):
    """A restarted node must know what its former process has acknowledged."""
    await _configure(site)
    leaving = site.targets[2]
    leaving._task.cancel()
    async with aiohttp.ClientSession() as session:
        late = leaving.heartbeat_body()
        if leaves_by == 'draining':
            leaving.state = 'draining'
            assert await leaving.send_heartbeat(session) == 200
        else:
            assert await leaving.deregister(session) == 200
        leaving.machine.kill()
        leaving.machine.start()
        await site.wait_until_node_ready(leaving.machine)
        before = leaving.runs.total()
        assert await leaving.post_heartbeat(session, late) == 200
    for machine in _nodes(site)[:2] * 40:
        assert (await _call(machine))[1] == 200
    assert leaving.runs.total() == before
