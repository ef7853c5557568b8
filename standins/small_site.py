"""A small site for tests: one control host, one node and its target."""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path
from typing import Any, Final

import aiohttp

from standins.platform import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    Machine,
    Site,
)

HOST: Final = 'a.example'
SERVICE: Final = 'records'
PATH: Final = '/records/x'
HEARTBEAT_PATH: Final = '/api/rpc?call=instances.heartbeat&of=i-9'
PUT_PATH: Final = '/api/rpc?call=config.put'
MAX_HEADER_BYTES: Final = 8192
MAX_BODY_BYTES: Final = 1024 * 1024
METRICS_PORT: Final = 9464
RETRY_S: Final = 0.1

Address = tuple[str, int]


class SmallSite:
    """One control host, one node and its target.

    Attributes
    ----------
    control, node : Machine
        Machines of the control host and the node.
    """

    def __init__(self, folder: Path) -> None:
        """Plan the machines; `start` starts their programs."""
        self._site = Site(folder)
        self._site.program = 'standins.small_host'
        # Bytes that are no request may be logged in any way.
        self._site.checks_logs = False
        self.control = self._site.add('a', 'control')
        self.node = self._site.add('a', 'node', SERVICE)
        self._target = self._site.targets[0]

    @property
    def callers(self) -> Address:
        """Address for callers' requests."""
        return _address(self.node, 'outbound')

    @property
    def readiness(self) -> Address:
        """Address for readiness checks of the node."""
        return _address(self.node, 'ready_addr')

    @property
    def announcements(self) -> Address:
        """Address to which the target sends heartbeats."""
        return _address(self.node, 'control_plane')

    @property
    def operators(self) -> Address:
        """Address of the operators' API."""
        return _address(self.control, 'control_plane')

    @property
    def metrics(self) -> Address:
        """Address of the node's metrics."""
        return self.node.ip, METRICS_PORT

    @property
    def channels(self) -> Address:
        """Address for channels from other nodes."""
        return self.node.ip, self._site.ports['internal']

    @property
    def gossip(self) -> Address:
        """Address for the node's gossip."""
        return self.node.ip, self._site.ports['internal'] + 1

    @property
    def control_links(self) -> Address:
        """Address for messages from nodes and other control hosts."""
        return self.control.ip, self._site.ports['internal'] + 2

    async def start(self, answer_bytes: int = 0) -> None:
        """Start the programs and wait until the node serves requests.

        Parameters
        ----------
        answer_bytes : int
            Least size of the target's answers.
        """
        self._target.answer_bytes = answer_bytes
        await self._site.start()
        status, _ = await self._site.call_operator_api('config.put', _DOCUMENT)
        assert status == 200
        await self._site.wait_until_ready()
        await self.send_request()

    async def stop(self) -> None:
        """Stop the target and kill the programs."""
        await self._site.stop()

    async def send_request(self) -> None:
        """Send a request as a caller; repeat it until it succeeds."""
        await _get_until_ok(
            self.callers, PATH, {'Host': HOST, DEADLINE_HEADER: '3000'}
        )

    async def check_readiness(self) -> None:
        """Send a readiness check until it is answered."""
        await _get_until_ok(self.readiness, '/api/ready')

    async def read_metrics(self) -> None:
        """Read the node's metrics until they are sent."""
        await _get_until_ok(self.metrics, '/metrics')

    async def send_heartbeat(self) -> None:
        """Send a heartbeat of the target until it is acknowledged."""
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    if await self._target.send_heartbeat(session) == 200:
                        return
                except aiohttp.ClientError:
                    # The connection was refused; a later one may succeed.
                    await asyncio.sleep(RETRY_S)

    async def read_configuration(self) -> None:
        """Read the configuration at the operators' API."""
        status, _ = await self._site.call_operator_api('config.get')
        assert status == 200


async def _get(address: Address, path: str, headers: dict[str, str]) -> int:
    """Return the status of the answer; 503 if the connection ended."""
    host, port = address
    url = f'http://{host}:{port}{path}'
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=headers) as answer,
        ):
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, OSError):
        return 503


async def _get_until_ok(
    address: Address, path: str, headers: dict[str, str] | None = None
) -> None:
    while True:
        identity = {ATTEMPT_ID_HEADER: uuid.uuid4().hex}
        if await _get(address, path, identity | (headers or {})) == 200:
            return
        await asyncio.sleep(RETRY_S)


def _address(machine: Machine, name: str) -> Address:
    host, port = machine.address(name).split(':')
    return host, int(port)


def _item(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    metadata = {'name': name} if name else {}
    return {'resource_type': kind, 'metadata': metadata, 'spec': spec}


_DOCUMENT: Final = {
    'version': '00000001',
    'base_version': '00000000',
    'resources': [
        _item(
            'routes',
            'r-1',
            host=HOST,
            path_prefix='/records/',
            route_type='idempotent',
            timeout='3s',
            target_latency='200ms',
            priority=2,
            service=SERVICE,
            max_attempts=2,
        ),
        _item(
            'services',
            SERVICE,
            health_check_path='/health',
            max_connections=240,
            protocol='h1',
            tls=False,
            cold_start='3s',
            coldstart_per_s=35,
        ),
        _item(
            'limits',
            '',
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=MAX_BODY_BYTES,
            header_timeout='1000ms',
            idle_timeout='3000ms',
        ),
    ],
}
