"""Control hosts in separate processes: killed, frozen, without a disk."""

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

TIMES = {'heartbeat_s': 0.1, 'election_timeout_s': 0.5, 'snapshot_every': 10}


class _Group:
    """A cluster of control hosts and one node, and an operator."""

    def __init__(self, folder: Path, session: aiohttp.ClientSession) -> None:
        self.cluster = Cluster(folder)
        self.cluster.control_settings = TIMES
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
        """Return the leader that a current host names."""

        async def found() -> str:
            for name in self.names:
                status = await self.status(name)
                leader = status.get('leader', '')
                if status.get('current') and leader:
                    leading = await self.status(leader)
                    if leading.get('current'):
                        return leader
            return ''

        return await wait_until(found)

    async def accept(self, revision: int) -> None:
        """Have one change accepted as a revision, with resends."""
        command = {
            'change_id': str(next(self.serial)),
            'base_revision': revision - 1,
            'operator': 'test',
            'change': {'type': 'take_out_target', 'name': f't-{revision}'},
        }

        async def made() -> bool:
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

        await wait_until(made)

    async def in_force(self, revision: int) -> None:
        """Wait until all control hosts and the node have a revision."""

        async def reached() -> bool:
            found = [await self.status(name) for name in self.names]
            return all(
                status.get('accepted') == revision
                and status.get('current')
                and status.get('confirmed') == ['node-1']
                for status in found
            )

        await wait_until(reached)

    async def admitted(self, name: str, old_disk: str) -> None:
        """Wait until the new disk of a host votes."""

        async def votes() -> bool:
            status = await self.status(name)
            disk = status.get('voters', {}).get(name, old_disk)
            return disk != old_disk

        await wait_until(votes)

    async def lose_disk(self, name: str) -> None:
        """Kill a host, empty its folder, and wait for its repair."""
        old_disk = (await self.status(name))['voters'][name]
        self.cluster.processes[name].kill()
        shutil.rmtree(self.cluster.folder / name)
        self.cluster.start_control(name)
        await self.admitted(name, old_disk)


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


async def test_kills_of_the_leader_and_of_all_lose_nothing(group):
    revision = 0
    for _ in range(3):
        revision += 1
        await group.accept(revision)
        leader = await group.leader()
        group.cluster.processes[leader].kill()
        revision += 1
        await group.accept(revision)
        group.cluster.start_control(leader)
    for name in group.names:
        group.cluster.processes[name].kill()
    for name in group.names:
        group.cluster.start_control(name)
    await group.in_force(revision)
    await group.accept(revision + 1)
    await group.in_force(revision + 1)


async def test_a_frozen_leader_is_replaced_and_follows_on_its_return(group):
    await group.accept(1)
    frozen = await group.leader()
    process = group.cluster.processes[frozen]
    process.send(signal.SIGSTOP)
    await group.accept(2)
    process.send(signal.SIGCONT)
    status = await group.status(frozen)
    assert not status.get('current') or status['accepted'] == 2
    await group.in_force(2)
    assert await group.leader() != frozen


async def test_a_second_host_may_be_lost_right_after_a_disk_was(group):
    await group.accept(1)
    first, second, third = group.names
    await group.lose_disk(first)
    group.cluster.processes[second].kill()
    await group.accept(2)
    group.cluster.start_control(second)
    await group.in_force(2)
    await group.lose_disk(second)
    await group.lose_disk(third)
    await group.accept(3)
    await group.in_force(3)


async def test_a_damaged_disk_is_refused_loudly(group):
    for revision in range(1, 4):
        await group.accept(revision)
    await group.in_force(3)
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
    await group.accept(4)
