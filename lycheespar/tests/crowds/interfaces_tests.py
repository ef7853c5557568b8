"""Crowds at interfaces of an installation without a platform adapter."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import aiohttp
import pytest

from lycheespar.tests.crowds.heads import ENDLESS
from lycheespar.tests.crowds.siege import besiege
from standins.cluster import Cluster, Process, wait_until

pytestmark = pytest.mark.crowd


@dataclass(frozen=True, slots=True)
class Member:
    """A process of a cluster, and the address that is besieged."""

    process: Process
    role: str
    address: tuple[str, int]
    path: str

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return None if self.process.running else self.process.wait()

    async def ask(self) -> None:
        """Send a request until it is answered."""
        await wait_until(self._is_answered)

    async def _is_answered(self) -> bool:
        host, port = self.address
        url = f'http://{host}:{port}{self.path}'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as answer,
            ):
                return answer.status in {200, 404}
        except (aiohttp.ClientError, OSError):
            return False


@pytest.fixture
def cluster(tmp_path):
    """Plan a control host; kill all processes at the end."""
    planned = Cluster(tmp_path, control_hosts=1)
    planned.program = (sys.executable, '-m', 'standins.small_host')
    yield planned
    for process in planned.processes.values():
        process.kill()


@pytest.mark.parametrize('name', ['zero_bytes', 'empty_lines', 'trailer'])
async def test_the_operators_api_bears_what_has_no_end(cluster, name):
    """Only the address for callers had limits."""
    process = cluster.start_control('control-1')
    host, port = cluster.control_http['control-1'].split(':')
    address = (host, int(port))
    member = Member(process, 'control', address, '/v1/configuration')
    await member.ask()
    await besiege(member, address, ENDLESS[name], member.ask)


@pytest.mark.parametrize('name', ['zero_bytes', 'empty_lines', 'trailer'])
async def test_announcements_bear_what_has_no_end(cluster, name):
    """Only the address for callers had limits."""
    node = cluster.add_node('node-1', 'dc-1')
    process = cluster.start_node(node)
    member = Member(process, 'node', (node.host, node.announce), '/')
    await member.ask()
    await besiege(member, member.address, ENDLESS[name], member.ask)
