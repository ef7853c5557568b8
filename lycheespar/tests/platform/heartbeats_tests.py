"""Heartbeats of the target beside a node."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from lycheespar.membership.records import Phase
from lycheespar.platform.heartbeats import HeartbeatServer
from lycheespar.settings.options import Address
from lycheespar.targets import reports
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.departures import Departure
from lycheespar.targets.reports import MAX_LAST_REPORTS
from lycheespar.tests.departures import StoredDepartures


class HeartbeatHarness:
    """A heartbeat server and a client of it."""

    def __init__(self) -> None:
        """Create a stopped server and its client."""
        self.departures = StoredDepartures()
        self.target = LocalTarget()
        self.server = self._new_server()
        self.session = aiohttp.ClientSession()
        self.port = 0

    async def start(self):
        """Open the port, and wait until departures are known if they can be."""
        await self.server.start(Address('127.0.0.1', 0))
        self.port = self.server._runner.addresses[0][1]
        if self.departures.reachable.is_set():
            await self.server._reports._restore_task

    async def restart(self):
        """Replace the server by one of a new process."""
        await self.server.stop()
        self.target = LocalTarget()
        self.server = self._new_server()
        await self.start()

    def _new_server(self):
        return HeartbeatServer(self.target, 'records', 1.5, self.departures)

    async def call(self, call, target='i-1', **body):
        """Send a call and return the status of the response."""
        url = f'http://127.0.0.1:{self.port}/api/rpc?call={call}&of={target}'
        async with self.session.post(url, json=body) as response:
            return response.status

    async def send_heartbeat(
        self, sequence, state='ready', *, target='i-1', born=1000, **changes
    ):
        """Send a heartbeat."""
        status = {'state': state, 'sequence': sequence, 'cold_remaining': '0ms'}
        info = {'service': 'records', 'version': 'v1', 'zone': 'z', 'slots': 12}
        return await self.call(
            'instances.heartbeat',
            target,
            address=changes.pop('address', '127.0.0.1:8080'),
            info=info | changes.pop('info', {}),
            status=status | changes.pop('status', {}),
            born=born,
            **changes,
        )

    @property
    def state(self):
        """Phase of the announced target; None without one."""
        current = self.target.current
        return None if current is None else current.membership_phase


@pytest.fixture
async def harness():
    """Run a heartbeat server with its client."""
    running = HeartbeatHarness()
    await running.start()
    yield running
    await running.session.close()
    await running.server.stop()


async def test_heartbeat_announces_the_target(harness):
    assert await harness.send_heartbeat(1) == 200
    assert harness.state is Phase.ready
    assert harness.target.current.service_name == 'records'


async def test_late_heartbeat_does_not_undo_a_drain(harness):
    await harness.send_heartbeat(1)
    await harness.send_heartbeat(5, 'draining')
    assert await harness.send_heartbeat(3) == 200
    assert harness.state is Phase.draining


async def test_heartbeat_after_deregistration_is_ignored(harness):
    await harness.send_heartbeat(1)
    assert await harness.call('instances.deregister') == 200
    assert await harness.send_heartbeat(7) == 200
    assert harness.state is Phase.left


@pytest.mark.parametrize('body', [{}, {'born': 1000}])
async def test_heartbeat_after_deregistration_of_an_unknown_target_is_ignored(
    harness, body
):
    assert await harness.call('instances.deregister', **body) == 200
    assert await harness.send_heartbeat(7) == 200
    assert harness.state is None


async def test_unknown_target_may_start_again_after_deregistration(harness):
    await harness.call('instances.deregister', born=1000)
    await harness.send_heartbeat(1, born=2000)
    assert harness.state is Phase.ready


async def test_a_late_deregistration_of_an_earlier_start_ends_no_later_one(
    harness,
):
    """A target may start again under its id before the call has arrived."""
    await harness.send_heartbeat(9, born=1000)
    await harness.send_heartbeat(1, born=2000)
    assert await harness.call('instances.deregister', born=1000) == 200
    assert harness.state is Phase.ready
    assert await harness.send_heartbeat(2, born=2000) == 200
    assert harness.state is Phase.ready
    await harness.restart()
    await harness.send_heartbeat(10, born=1000)
    assert harness.state is None
    await harness.send_heartbeat(3, born=2000)
    assert harness.state is Phase.ready


async def test_target_may_start_again_after_deregistration(harness):
    await harness.send_heartbeat(9, 'draining')
    await harness.call('instances.deregister')
    await harness.send_heartbeat(1, born=2000)
    assert harness.state is Phase.ready


async def test_heartbeat_of_an_earlier_start_is_ignored(harness):
    await harness.send_heartbeat(1, target='i-2', born=2000)
    await harness.send_heartbeat(30, target='i-1', born=1000)
    assert harness.target.current.target == 'i-2'


async def test_earlier_start_time_is_accepted_after_the_lease_has_expired(
    harness,
):
    harness.server._lease_s = 0.05
    await harness.send_heartbeat(1, target='i-2', born=2000)
    async with asyncio.timeout(5):
        while harness.state is not None:
            await asyncio.sleep(0.01)
    await harness.send_heartbeat(1, target='i-3', born=1000)
    assert harness.target.current.target == 'i-3'


async def test_target_is_cold_while_its_heartbeats_say_so(harness):
    await harness.send_heartbeat(1, status={'cold_remaining': '2.5s'})
    assert harness.state is Phase.cold
    assert harness.target.current.cold_s == 2.5


@pytest.mark.parametrize(
    'changes',
    [
        {'info': {'service': 'unknown'}},
        {'info': {'slots': 0}},
        {'info': {'slots': 'many'}},
        {'status': {'state': 'odd'}},
        {'status': {'sequence': None}},
        {'status': {'cold_remaining': 7}},
        {'address': 'nowhere'},
        {'born': 1.5},
    ],
)
async def test_invalid_heartbeat_is_rejected_without_effect(harness, changes):
    await harness.send_heartbeat(1)
    before = harness.target.current
    assert await harness.send_heartbeat(2, **changes) == 400
    assert harness.target.current == before


async def test_heartbeat_does_not_undo_a_drain_of_the_node(harness):
    await harness.send_heartbeat(1)
    harness.target.mark_draining()
    await harness.send_heartbeat(2)
    assert harness.state is Phase.draining


async def test_reports_of_ever_new_targets_are_not_all_remembered(harness):
    for number in range(MAX_LAST_REPORTS + 10):
        await harness.call('instances.deregister', f'i-{number}')
        await harness.send_heartbeat(1, target='i-own')
    assert len(harness.server._reports._last_reports) == MAX_LAST_REPORTS
    assert harness.state is Phase.ready
    await harness.call('instances.deregister', 'i-own')
    assert await harness.send_heartbeat(2, target='i-own') == 200
    assert harness.state is Phase.left


@pytest.mark.parametrize('target', ['', 'x' * 256])
async def test_a_target_without_a_usable_name_cannot_be_deregistered(
    harness, target
):
    assert await harness.call('instances.deregister', target) == 400
    assert not harness.server._reports._last_reports


async def test_a_restarted_node_ignores_a_late_heartbeat_after_a_deregistration(
    harness,
):
    await harness.send_heartbeat(1)
    assert await harness.call('instances.deregister', born=1000) == 200
    await harness.restart()
    assert await harness.send_heartbeat(2) == 200
    assert harness.state is None
    await harness.send_heartbeat(1, born=2000)
    assert harness.state is Phase.ready


async def test_a_restarted_node_ignores_a_late_heartbeat_after_a_drain(harness):
    await harness.send_heartbeat(1)
    assert await harness.send_heartbeat(5, 'draining') == 200
    await harness.restart()
    assert await harness.send_heartbeat(4) == 200
    assert harness.state is None
    await harness.send_heartbeat(6, 'draining')
    assert harness.state is Phase.draining


async def test_a_second_drain_of_one_start_is_stored_too(harness):
    """A heartbeat sent between both drains must not undo the second one."""
    await harness.send_heartbeat(1, 'draining')
    await harness.send_heartbeat(2)
    assert await harness.send_heartbeat(9, 'draining') == 200
    await harness.restart()
    await harness.send_heartbeat(8)
    assert harness.state is None


@pytest.mark.parametrize('leaves_by', ['draining', 'deregistration'])
async def test_a_departure_is_acknowledged_only_when_it_is_stored(
    harness, leaves_by
):
    """An acknowledgement must hold after a restart of the node."""

    async def leave():
        if leaves_by == 'draining':
            return await harness.send_heartbeat(2, 'draining')
        return await harness.call('instances.deregister', born=1000)

    await harness.send_heartbeat(1)
    harness.departures.reachable.clear()
    assert await leave() == 503
    # It gets no new work all the same.
    assert harness.state in {Phase.draining, Phase.left}
    harness.departures.reachable.set()
    assert await leave() == 200
    assert await leave() == 200
    assert len(harness.departures.departures) == 1


async def test_heartbeats_are_held_until_departures_are_known(harness):
    await harness.call('instances.deregister', born=1000)
    harness.departures.reachable.clear()
    await harness.restart()
    assert await harness.send_heartbeat(7) == 200
    assert harness.state is Phase.draining
    harness.departures.reachable.set()
    await harness.server._reports._restore_task
    assert harness.state is Phase.left
    assert await harness.send_heartbeat(8) == 200
    assert harness.state is Phase.left


async def test_a_held_heartbeat_is_used_once_departures_are_known(harness):
    harness.departures.reachable.clear()
    await harness.restart()
    await harness.send_heartbeat(2)
    await harness.send_heartbeat(1)
    assert harness.state is Phase.draining
    harness.departures.reachable.set()
    await harness.server._reports._restore_task
    assert harness.state is Phase.ready
    assert await harness.send_heartbeat(1, 'draining') == 200
    assert harness.state is Phase.ready


async def test_a_held_heartbeat_of_a_later_start_is_used(harness):
    """A target may start again under its id while its node restarts."""
    await harness.call('instances.deregister', born=1000)
    harness.departures.reachable.clear()
    await harness.restart()
    await harness.send_heartbeat(1, born=2000)
    harness.departures.reachable.set()
    await harness.server._reports._restore_task
    assert harness.state is Phase.ready


async def test_a_target_is_served_though_departures_stay_unknown(
    harness, monkeypatch
):
    """Without the control hosts, targets must not stay unknown for ever."""
    monkeypatch.setattr(reports, 'HOLD_TIMEOUT_S', 0.05)
    departure = Departure('i-1', 1000, deregistered=True)
    harness.departures.departures.append(departure)
    harness.departures.reachable.clear()
    await harness.restart()
    await harness.send_heartbeat(1)
    sequence = 1
    async with asyncio.timeout(5):
        while harness.state is not Phase.ready:
            sequence += 1
            await harness.send_heartbeat(sequence)
    harness.departures.reachable.set()
    await harness.server._reports._restore_task
    assert harness.state is Phase.draining
