"""Stand-in for the users' platform: machines, targets and an operator.

Each machine is an IP address of the loopback network. The programs of the
system run as separate processes, with settings files in the platform's format.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

import aiohttp
from aiohttp import web

from standins.cluster import STOP_TIMEOUT_S, free_port, wait_until

HEARTBEAT_INTERVAL_S: Final = 0.3
# Rounds of an operator's call, 0.1 s apart. Beside 60 other programs that start
# at once, a control host takes more than 4 s to open its port.
OPERATOR_CALL_ROUNDS: Final = 200
ATTEMPT_ID_HEADER: Final = 'X-Lycheespar-Attempt-Id'
DEADLINE_HEADER: Final = 'X-Lycheespar-Deadline-Ms'
KEY_HEADER: Final = 'Api-Key'
TEAM_HEADER: Final = 'X-Lycheespar-Tenant-Name'
RESPONSE_SEAL_HEADER: Final = 'X-Lycheespar-Response-Seal'
SERVER_LOAD_HEADER: Final = 'X-Lycheespar-Server-Load'
_UNHANDLED_EVENT: Final = re.compile('"event":"(unhandled_error|task_failed)"')
# Starts the command that follows with its standard streams closed.
_WITHOUT_STREAMS: Final = ('sh', '-c', 'exec "$@" <&- >&- 2>&-', 'sh')
_PID: Final = os.getpid()
_NETWORK: Final = f'127.{130 + _PID // 256 % 100}.{_PID % 256}'


class Machine:
    """A machine that runs one program: a control host or a node.

    Attributes
    ----------
    service : str
        Service of the target beside a node, if it has one.
    first_start : bool
        Whether the program has not been started yet; goes to the setting
        ``bootstrap``.
    stopping : bool
        Set while a caller stops the node, so that no requests are sent to it.
    """

    def __init__(self, site: Site, number: int, zone: str, role: str) -> None:
        """Set the role and the address; `start` starts the program."""
        self.site = site
        self.ip = f'{_NETWORK}.{number}'
        self.zone = zone
        self.role = role
        self.service = ''
        self.first_start = True
        self.stopping = False
        self.folder = site.folder / f'machine-{number}'
        self._child: subprocess.Popen[bytes] | None = None

    def address(self, name: str) -> str:
        """Return the ``host:port`` of a named listener of the program."""
        return f'{self.ip}:{self.site.ports[name]}'

    def start(self) -> None:
        """Write the settings file and start the program."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / 'local.json'
        path.write_text(json.dumps(self._settings()))
        with self.log.open('ab') as log:
            self._child = subprocess.Popen(
                [
                    *(_WITHOUT_STREAMS if self.site.without_streams else ()),
                    sys.executable,
                    '-m',
                    self.site.program,
                    f'hosted-{self.role}',
                ],
                stdout=log,
                stderr=log,
                cwd=self.site.program_folder,
                env={
                    'PATH': os.environ['PATH'],
                    'LYCHEESPAR_SETTINGS': str(path),
                    **self.site.environment,
                },
            )
        self.first_start = False

    @property
    def log(self) -> Path:
        """File to which the output of the program is appended."""
        return self.folder / 'log'

    @property
    def data(self) -> Path:
        """Data folder of a control host."""
        return self.folder / 'data'

    def kill(self) -> None:
        """Kill the program and wait until it has exited."""
        if self._child is not None:
            self._child.kill()
            self._child.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Send the program SIGTERM, for a graceful stop."""
        self.send(signal.SIGTERM)

    def send(self, number: signal.Signals) -> None:
        """Send the program a signal."""
        assert self._child is not None
        self._child.send_signal(number)

    @property
    def pid(self) -> int:
        """Process id of the program; valid after `start`."""
        assert self._child is not None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the program; None while it runs."""
        return None if self._child is None else self._child.poll()

    @property
    def ended(self) -> bool:
        """Whether the program was started and has exited."""
        return self._child is not None and self._child.poll() is not None

    def _settings(self) -> dict[str, Any]:
        listeners = ('control_plane',)
        if self.role == 'node':
            listeners = ('control_plane', 'outbound', 'ready_addr')
        return {
            'self': {
                'node_id': f'{self.role}-{self.ip}',
                'ip': self.ip,
                'zone': self.zone,
                'bootstrap': self.first_start,
                'data_dir': str(self.data) if self.role == 'control' else None,
                'service': self.service,
            },
            'network': {
                'listen_addrs': {
                    name: self.address(name) for name in listeners
                },
                'internal_port_range': [
                    self.site.ports['internal'],
                    self.site.ports['internal'] + 9,
                ],
                'seed_nodes': [
                    machine.address('control_plane')
                    for machine in self.site.seeds
                ],
            },
            'platform': {
                'heartbeat_interval': f'{int(HEARTBEAT_INTERVAL_S * 1000)}ms'
            },
            'terms': {
                'fault_tolerance': {'machines': 1},
                'bounds': {'grace_period': f'{self.site.grace_s}s'},
            },
        }


class Target:
    """Application server beside a node; checks and counts its requests.

    Attributes
    ----------
    runs : Counter[str]
        How often each attempt id was run.
    request_errors : list[str]
        What was wrong with the headers of requests.
    teams : set[str]
        Names of the tenants that requests named.
    slots : int
        Requests that it says it can run at once.
    work_s : float
        Time of a request in seconds.
    work_ms : dict[str, float]
        Time of a request in milliseconds by the first part of its path, such
        as ``/look-up/``; replaces `work_s`.
    slowdown : float
        Factor on the time of requests; also reported with the load, as a
        percentage.
    sends_foreign_answers : bool
        Whether every fifth answer carries the attempt id of another request.
    cold_ms : int
        Remaining time of the cold start in milliseconds that it reports.
    state : str
        State that heartbeats report.
    notices : dict[str, str]
        Further headers of its answers to requests.
    answer_bytes : int
        Least size of its answers to requests.
    """

    def __init__(self, machine: Machine, identity: str) -> None:
        """Create a target that is not listening; `start` opens its port."""
        self.machine = machine
        self.identity = identity
        self.runs: Counter[str] = Counter()
        self.request_errors: list[str] = []
        self.teams: set[str] = set()
        self.slots = 8
        self.work_s = 0.01
        self.work_ms: dict[str, float] = {}
        self.slowdown = 1.0
        self.sends_foreign_answers = False
        self.cold_ms = 0
        self.state = 'ready'
        self.notices: dict[str, str] = {}
        self.answer_bytes = 0
        self._sequence = 0
        self._running = 0
        self._started_at_ms = int(time.time() * 1000)
        self._runner = web.ServerRunner(web.Server(self._handle))
        self._task: asyncio.Task[None] | None = None
        self.address = ''

    async def start(self) -> None:
        """Open the port and begin to send heartbeats to the node."""
        await self._runner.setup()
        port = free_port(self.machine.ip)
        await web.TCPSite(self._runner, self.machine.ip, port).start()
        self.address = f'{self.machine.ip}:{port}'
        self._task = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Close the port and stop sending heartbeats."""
        if self._task is not None:
            self._task.cancel()
        await self._runner.cleanup()

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> int:
        """Send one heartbeat to the node; return the status of the answer."""
        return await self.post_heartbeat(session, self.heartbeat_body())

    def heartbeat_body(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            'address': self.address,
            'info': {
                'service': self.machine.service,
                'version': 'v1',
                'zone': self.machine.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self._sequence,
                'cold_remaining': f'{self.cold_ms}ms',
            },
            'born': self._started_at_ms,
        }

    async def post_heartbeat(
        self, session: aiohttp.ClientSession, body: dict[str, Any]
    ) -> int:
        """Send a heartbeat with a given body; return the status."""
        return await self._post(session, 'instances.heartbeat', body)

    async def deregister(self, session: aiohttp.ClientSession) -> int:
        """Deregister at the node; return the status of the answer."""
        body = {'born': self._started_at_ms}
        return await self._post(session, 'instances.deregister', body)

    async def _post(
        self, session: aiohttp.ClientSession, call: str, body: dict[str, Any]
    ) -> int:
        address = self.machine.address('control_plane')
        url = f'http://{address}/api/rpc?call={call}&of={self.identity}'
        async with session.post(url, json=body) as answer:
            return answer.status

    async def _send_heartbeats(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    await self.send_heartbeat(session)
                except aiohttp.ClientError:
                    # The node is not running; a later heartbeat may succeed.
                    await asyncio.sleep(HEARTBEAT_INTERVAL_S / 3)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        load = {
            SERVER_LOAD_HEADER: (
                f'{self._running},0,{self.slots},{self.slowdown * 100:.0f}'
            )
        }
        if request.path == '/health':
            instance = {'X-Lycheespar-Instance-Id': self.identity}
            cold_start = {'X-Lycheespar-Cold-Ms': str(self.cold_ms)}
            return web.Response(headers=instance | cold_start | load)
        expected = request.headers.get('X-Lycheespar-Expected-Instance')
        if expected not in {None, self.identity}:
            return web.Response(status=421)
        attempt_id = request.headers.get(ATTEMPT_ID_HEADER, '')
        body = await request.read()
        self._check_headers(request)
        self.runs[attempt_id] += 1
        self._running += 1
        try:
            await asyncio.sleep(self._work_s(request.path))
        finally:
            self._running -= 1
        if self.sends_foreign_answers and self.runs.total() % 5 == 0:
            attempt_id = 'another'
        response_headers = {
            ATTEMPT_ID_HEADER: attempt_id,
            RESPONSE_SEAL_HEADER: f'{self.identity}.{attempt_id}',
        }
        response_text = f'{request.method} {request.path} {len(body)}'
        return web.Response(
            text=response_text.ljust(self.answer_bytes),
            headers=response_headers | load | self.notices,
        )

    def _work_s(self, path: str) -> float:
        """Return how long a request takes, by the first part of its path."""
        prefix = path[: path.find('/', 1) + 1]
        prefix_ms = self.work_ms.get(prefix)
        base_s = self.work_s if prefix_ms is None else prefix_ms / 1000
        return base_s * self.slowdown

    def _check_headers(self, request: web.BaseRequest) -> None:
        self.teams.update(request.headers.getall(TEAM_HEADER, ()))
        if KEY_HEADER in request.headers:
            self.request_errors.append('request with a key')
        if not request.headers.get('X-Lycheespar-Caller-Service'):
            self.request_errors.append(
                'request without the service of its caller'
            )
        if not request.headers.get(DEADLINE_HEADER, '').isdecimal():
            self.request_errors.append('request without a valid deadline')


class Site:
    """All machines and targets, and a client of the operators' API.

    Attributes
    ----------
    program_folder : Path | None
        Folder in which the programs start, such as a checkout of another
        commit; the current folder if None.
    grace_s : int
        Time in seconds between SIGTERM and SIGKILL that the programs are told.
    without_streams : bool
        Whether the programs start with all standard streams closed.
    program : str
        Module that starts the programs: ``lycheespar``, or
        ``standins.hardened_host``.
    environment : dict[str, str]
        Further environment variables of the programs.
    checks_logs : bool
        Whether errors in the logs that nothing handled fail the run.
    """

    def __init__(self, folder: Path) -> None:
        """Create a site without machines and choose its ports."""
        self.folder = folder
        self.machines: list[Machine] = []
        self.targets: list[Target] = []
        self.program_folder: Path | None = None
        self.grace_s = 4
        self.without_streams = False
        self.program = 'lycheespar'
        self.environment: dict[str, str] = {}
        self.checks_logs = True
        names = ('control_plane', 'outbound', 'ready_addr', 'internal')
        self.ports = {
            name: free_port(f'{_NETWORK}.1') + offset * 20
            for offset, name in enumerate(names)
        }

    @property
    def seeds(self) -> list[Machine]:
        """The first three machines with a control host."""
        return [
            machine for machine in self.machines if machine.role == 'control'
        ][:3]

    def add(self, zone: str, role: str, service: str = '') -> Machine:
        """Add a machine; also add a target if a service is given."""
        machine = Machine(self, len(self.machines) + 1, zone, role)
        machine.service = service
        self.machines.append(machine)
        if service:
            identity = f'i-{len(self.targets)}'
            self.targets.append(Target(machine, identity))
        return machine

    async def start(self) -> None:
        """Start all programs and targets."""
        for machine in self.machines:
            machine.start()
        for target in self.targets:
            await target.start()

    async def stop(self) -> None:
        """Stop all targets and kill all programs.

        Raises
        ------
        AssertionError
            The log of a program has an error that nothing handled.
        """
        for target in self.targets:
            await target.stop()
        for machine in self.machines:
            machine.kill()
        if self.checks_logs:
            assert not self.unhandled_errors()

    def unhandled_errors(self) -> list[str]:
        """Return the lines of the logs that report unhandled errors."""
        return [
            f'{machine.ip}: {line}'
            for machine in self.machines
            if machine.log.exists()
            for line in unhandled_lines(machine.log.read_text())
        ]

    async def call_operator_api(
        self, call: str, body: Any = None
    ) -> tuple[int, bytes]:
        """Send an operator's call; retry it until the status is below 500.

        Returns
        -------
        tuple[int, bytes]
            Status and body of the answer.

        Raises
        ------
        TimeoutError
            If no control host gave such an answer within all rounds.
        """
        async with aiohttp.ClientSession() as session:
            for _ in range(OPERATOR_CALL_ROUNDS):
                for machine in self.machines:
                    if machine.role != 'control' or machine.ended:
                        continue
                    url = f'http://{machine.address("control_plane")}'
                    try:
                        async with session.post(
                            f'{url}/api/rpc?call={call}',
                            json=body,
                        ) as answer:
                            if answer.status < 500:
                                return answer.status, await answer.read()
                    except aiohttp.ClientError:
                        # Try the next control host.
                        continue
                await asyncio.sleep(0.1)
        raise TimeoutError(call)

    async def wait_until_node_ready(self, machine: Machine) -> None:
        """Wait until the node of a machine reports that it is ready."""
        async with aiohttp.ClientSession() as session:
            await _wait_until_ready(session, machine)

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready and logged all targets as ready."""
        async with aiohttp.ClientSession() as session:
            for machine in self.machines:
                if machine.role == 'node':
                    await _wait_until_ready(session, machine)
        await wait_until(
            lambda: all(
                machine.log.read_text().count('"phase":"ready"')
                >= len(self.targets)
                for machine in self.machines
                if machine.role == 'node'
            ),
        )


def unhandled_lines(log: str) -> list[str]:
    """Return the lines of a log that report an error that nothing handled.

    Lines that are no JSON come from a library or the interpreter itself.
    """
    return [
        line
        for line in log.splitlines()
        if line and (not line.startswith('{') or _UNHANDLED_EVENT.search(line))
    ]


async def _wait_until_ready(
    session: aiohttp.ClientSession,
    machine: Machine,
) -> None:
    """Wait until the node of a machine reports that it is ready."""
    url = f'http://{machine.address("ready_addr")}/api/ready'
    for _ in range(200):
        try:
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        except aiohttp.ClientError:
            # The port is not open yet.
            pass
        await asyncio.sleep(0.1)
    raise TimeoutError(machine.ip)
