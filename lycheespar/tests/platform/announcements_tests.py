"""Heartbeats of the target beside a node."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from lycheespar.config.options import Address
from lycheespar.membership.records import Phase
from lycheespar.platform.announcements import HeartbeatServer
from lycheespar.targets.announcement import LocalTarget


class Announced:
    """A heartbeat server and a client of it."""

    def __init__(self) -> None:
        """Plan both."""
        self.target = LocalTarget()
        self.server = HeartbeatServer(self.target, 'records', 1.5)
        self.session = aiohttp.ClientSession()
        self.port = 0

    async def call(self, call, target='i-1', **body):
        """Send a call and return the status of its answer."""
        url = f'http://127.0.0.1:{self.port}/api/rpc?call={call}&of={target}'
        async with self.session.post(url, json=body) as response:
            return response.status

    async def beat(
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
        """Phase of the target that is known."""
        current = self.target.current
        return None if current is None else current.state


@pytest.fixture
async def announced():
    """Run a heartbeat server."""
    running = Announced()
    await running.server.start(Address('127.0.0.1', 0))
    running.port = running.server._runner.addresses[0][1]
    yield running
    await running.session.close()
    await running.server.stop()


async def test_a_heartbeat_announces_the_target(announced):
    assert await announced.beat(1) == 200
    assert announced.state is Phase.ready
    assert announced.target.current.service_name == 'records'


async def test_a_late_heartbeat_does_not_undo_a_drain(announced):
    await announced.beat(1)
    await announced.beat(5, 'draining')
    assert await announced.beat(3) == 200
    assert announced.state is Phase.draining


async def test_a_target_that_left_is_not_brought_back_by_a_heartbeat(
    announced,
):
    await announced.beat(1)
    assert await announced.call('instances.deregister') == 200
    assert await announced.beat(7) == 200
    assert announced.state is Phase.left


@pytest.mark.parametrize('body', [{}, {'born': 1000}])
async def test_a_target_that_left_unknown_is_not_brought_back(announced, body):
    assert await announced.call('instances.deregister', **body) == 200
    assert await announced.beat(7) == 200
    assert announced.state is None


async def test_a_target_that_left_unknown_may_start_again(announced):
    await announced.call('instances.deregister', born=1000)
    await announced.beat(1, born=2000)
    assert announced.state is Phase.ready


async def test_a_target_that_started_again_counts_anew(announced):
    await announced.beat(9, 'draining')
    await announced.call('instances.deregister')
    await announced.beat(1, born=2000)
    assert announced.state is Phase.ready


async def test_a_heartbeat_of_an_earlier_start_changes_nothing(announced):
    await announced.beat(1, target='i-2', born=2000)
    await announced.beat(30, target='i-1', born=1000)
    assert announced.target.current.target == 'i-2'


async def test_after_a_silence_an_earlier_clock_is_taken(announced):
    announced.server._lease_s = 0.05
    await announced.beat(1, target='i-2', born=2000)
    async with asyncio.timeout(5):
        while announced.state is not None:
            await asyncio.sleep(0.01)
    await announced.beat(1, target='i-3', born=1000)
    assert announced.target.current.target == 'i-3'


async def test_a_target_that_says_so_is_cold(announced):
    await announced.beat(1, status={'cold_remaining': '2.5s'})
    assert announced.state is Phase.cold
    assert announced.target.current.cold_s == 2.5


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
async def test_a_forged_heartbeat_changes_nothing(announced, changes):
    await announced.beat(1)
    before = announced.target.current
    assert await announced.beat(2, **changes) == 400
    assert announced.target.current == before


async def test_a_drain_of_the_node_outlasts_heartbeats(announced):
    await announced.beat(1)
    announced.target.drain()
    await announced.beat(2)
    assert announced.state is Phase.draining
