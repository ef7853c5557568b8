"""Control hosts as processes that are killed, frozen or lose their disks."""

from __future__ import annotations

import asyncio
import itertools
import shutil
import signal
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from standins.cluster import Cluster, wait_until

CONTROL_SETTINGS = {
    'heartbeat_s': 0.1,
    'election_timeout_s': 0.5,
    'snapshot_every': 10,
}


class _Group:
    """Three control hosts and one node, and a client of their API."""

    def __init__(self, folder: Path, session: aiohttp.ClientSession) -> None:
        self.cluster = Cluster(folder)
        self.cluster.control_settings = CONTROL_SETTINGS
        self.node = self.cluster.add_node('node-1', 'ijmuiden')
        self.session = session
        self.serial = itertools.count()

    @property
    def names(self) -> list[str]:
        return list(self.cluster.control_peers)

    async def status(self, name: str) -> dict[str, Any]:
        url = f'http://{self.cluster.control_http[name]}/v1/status'
        timeout = aiohttp.ClientTimeout(1)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return {}

    async def leader(self) -> str:
        """Wait until a current host names a current leader; return its name."""

        async def current_leader() -> str:
            for name in self.names:
                status = await self.status(name)
                leader = status.get('leader', '')
                if status.get('current') and leader:
                    leading = await self.status(leader)
                    if leading.get('current'):
                        return leader
            return ''

        return await wait_until(current_leader)

    async def submit_change(self, revision: int) -> None:
        """Submit a change until it is accepted as a given revision."""
        command = {
            'change_id': str(next(self.serial)),
            'base_revision': revision - 1,
            'operator': 'test',
            'change': {'type': 'take_out_target', 'name': f't-{revision}'},
        }

        async def submitted() -> bool:
            for address in self.cluster.control_http.values():
                url = f'http://{address}/v1/changes'
                try:
                    async with self.session.post(
                        url, json=command, timeout=aiohttp.ClientTimeout(3)
                    ) as response:
                        content = await response.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
                if response.status == 200:
                    return content['revision'] == revision
                assert response.status >= 500, content
            return False

        await wait_until(submitted)

    async def wait_in_force(self, revision: int) -> None:
        """Wait until all hosts have a revision and the node confirmed it."""

        async def in_force() -> bool:
            found = [await self.status(name) for name in self.names]
            return all(
                status.get('accepted') == revision
                and status.get('current')
                and status.get('confirmed') == ['node-1']
                for status in found
            )

        await wait_until(in_force)

    async def wait_until_new_disk_votes(self, name: str, old_disk: str) -> None:
        """Wait until a host votes with another disk than `old_disk`."""

        async def new_disk_votes() -> bool:
            status = await self.status(name)
            disk = status.get('voters', {}).get(name, old_disk)
            return disk != old_disk

        await wait_until(new_disk_votes)

    async def replace_disk(self, name: str) -> None:
        """Restart a host without its data; wait until it votes again."""
        old_disk = (await self.status(name))['voters'][name]
        self.cluster.processes[name].kill()
        shutil.rmtree(self.cluster.folder / name)
        self.cluster.start_control(name)
        await self.wait_until_new_disk_votes(name, old_disk)


@pytest.fixture
async def group(tmp_path: Path):
    """Run three control hosts and a node."""
    async with aiohttp.ClientSession() as session:
        running = _Group(tmp_path, session)
        running.cluster.start()
        try:
            await running.leader()
            yield running
        finally:
            running.cluster.stop()


async def test_accepted_changes_survive_kills_of_control_hosts(group):
    revision = 0
    for _ in range(3):
        revision += 1
        await group.submit_change(revision)
        leader = await group.leader()
        group.cluster.processes[leader].kill()
        revision += 1
        await group.submit_change(revision)
        group.cluster.start_control(leader)
    for name in group.names:
        group.cluster.processes[name].kill()
    for name in group.names:
        group.cluster.start_control(name)
    await group.wait_in_force(revision)
    await group.submit_change(revision + 1)
    await group.wait_in_force(revision + 1)


async def test_a_frozen_leader_is_replaced_and_then_follows(group):
    await group.submit_change(1)
    frozen = await group.leader()
    process = group.cluster.processes[frozen]
    process.send(signal.SIGSTOP)
    await group.submit_change(2)
    process.send(signal.SIGCONT)
    status = await group.status(frozen)
    assert not status.get('current') or status['accepted'] == 2
    await group.wait_in_force(2)
    assert await group.leader() != frozen


async def test_group_tolerates_a_lost_host_after_a_replaced_disk(group):
    await group.submit_change(1)
    first, second, third = group.names
    await group.replace_disk(first)
    group.cluster.processes[second].kill()
    await group.submit_change(2)
    group.cluster.start_control(second)
    await group.wait_in_force(2)
    await group.replace_disk(second)
    await group.replace_disk(third)
    await group.submit_change(3)
    await group.wait_in_force(3)


async def test_a_host_with_a_damaged_log_exits_with_an_error(group):
    for revision in range(1, 4):
        await group.submit_change(revision)
    await group.wait_in_force(3)
    name = group.names[0]
    process = group.cluster.processes[name]
    process.kill()
    path = group.cluster.folder / name / 'log'
    stored = bytearray(path.read_bytes())
    stored[len(stored) // 2] ^= 1
    path.write_bytes(stored)
    damaged = group.cluster.start_control(name)
    assert await asyncio.to_thread(damaged.wait) == 3
    log = (group.cluster.folder / f'{name}.log').read_text()
    assert "storage_damaged: 'log' is damaged at byte" in log
    await group.submit_change(4)
