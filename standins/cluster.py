"""Runs control hosts, nodes and stand-in targets as local processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec

from standins.target import TargetPlan

READY_TIMEOUT_S: Final = 20
STOP_TIMEOUT_S: Final = 15
POLL_S: Final = 0.05


# Text of lines that report an error that nothing handled.
_UNHANDLED: Final = re.compile(
    r'event=(unhandled_error|task_failed)|^Traceback|^Exception ignored'
)
# Below the range from which the operating system takes ephemeral ports.
PORT_RANGE: Final = range(10_000, 32_000)
# A loopback address that only this process uses, so that tests in other
# processes can't take ports that it has chosen but not opened yet.
_PID: Final = os.getpid()
OWN_HOST: Final = (
    f'127.{64 + _PID // 65536 % 64}.{_PID // 256 % 256}.{_PID % 256}'
)

_port_candidates = itertools.cycle(PORT_RANGE)


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now; each call returns a different one."""
    for port in itertools.islice(_port_candidates, len(PORT_RANGE)):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError('no free port in the port range')


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, command: list[str], log: Path) -> None:
        """Set the command line and the log file; `start` runs the command."""
        self._command = command
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id; valid after `start`."""
        assert self._child is not None
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; append its output to the log file."""
        with self._log.open('ab') as log:
            self._child = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait until the process has exited; return its exit code."""
        assert self._child is not None
        return self._child.wait(STOP_TIMEOUT_S)


class NodePlan(msgspec.Struct):
    """Name, addresses and settings of a node.

    Attributes
    ----------
    name, data_centre : str
        Name of the node and the data centre that it belongs to.
    host : str
        IP address of all its ports.
    http, announce, inner, gossip : int
        Ports for callers, for announcements of targets, for calls between
        nodes and for gossip.
    settings : dict
        Settings that are added to, or replace, those that the cluster sets.
    """

    name: str
    data_centre: str
    host: str
    http: int
    announce: int
    inner: int
    gossip: int
    settings: dict[str, Any] = {}

    @property
    def url(self) -> str:
        """Base URL to which callers send requests."""
        return f'http://{self.host}:{self.http}'


class Cluster:
    """Control hosts, nodes and targets, each in a process of its own.

    Parameters
    ----------
    folder : Path
        Folder for settings files, logs and data.
    control_hosts : int
        Number of control hosts.
    """

    def __init__(self, folder: Path, control_hosts: int = 3) -> None:
        """Choose ports for the control hosts; `start` starts all processes."""
        self.folder = folder
        self.nodes: dict[str, NodePlan] = {}
        self.targets: dict[str, TargetPlan] = {}
        self.processes: dict[str, Process] = {}
        names = [f'control-{index + 1}' for index in range(control_hosts)]
        self.control_peers = {
            name: f'{OWN_HOST}:{free_port(OWN_HOST)}' for name in names
        }
        self.control_http = {
            name: f'{OWN_HOST}:{free_port(OWN_HOST)}' for name in names
        }
        self.control_settings: dict[str, Any] = {}
        self.program: tuple[str, ...] = (sys.executable, '-m', 'lycheespar')

    @property
    def api(self) -> str:
        """Base URL of the operators' API of the first control host."""
        first = next(iter(self.control_http.values()))
        return f'http://{first}'

    def add_node(
        self,
        name: str,
        data_centre: str,
        host: str = OWN_HOST,
        **settings: Any,
    ) -> NodePlan:
        """Add a node, not started; `settings` are added to its defaults."""
        plan = NodePlan(
            name,
            data_centre,
            host,
            free_port(host),
            free_port(host),
            free_port(host),
            free_port(host, socket.SOCK_DGRAM),
            settings,
        )
        self.nodes[name] = plan
        return plan

    def add_target(self, node: NodePlan, **plan: Any) -> TargetPlan:
        """Add a target to a node, not started; `plan` sets its behaviour."""
        target = TargetPlan(
            name=f'{node.name}-target',
            data_centre=node.data_centre,
            announce=f'{node.host}:{node.announce}',
            host=node.host,
            port=free_port(node.host),
            **plan,
        )
        self.targets[target.name] = target
        return target

    def start(self) -> None:
        """Start all control hosts, nodes and targets."""
        for name in self.control_peers:
            self.start_control(name)
        for node in self.nodes.values():
            self.start_node(node)
        for target in self.targets.values():
            self.start_target(target)

    def start_control(self, name: str) -> Process:
        """Write the settings file of a control host and start it."""
        settings = {
            'name': name,
            'data_centre': 'dc-1',
            'http': self.control_http[name],
            'peers': self.control_peers,
            'data_folder': str(self.folder / name),
            **self.control_settings,
        }
        return self._start_with_settings(name, 'control', settings)

    def start_node(self, node: NodePlan) -> Process:
        """Write the settings file of a node and start it."""
        settings = {
            'name': node.name,
            'data_centre': node.data_centre,
            'http': f'{node.host}:{node.http}',
            'announce': f'{node.host}:{node.announce}',
            'inner': f'{node.host}:{node.inner}',
            'gossip': f'{node.host}:{node.gossip}',
            'seeds': [
                f'{seed.host}:{seed.gossip}'
                for seed in itertools.islice(self.nodes.values(), 3)
            ],
            'control': self.control_peers,
            **node.settings,
        }
        return self._start_with_settings(node.name, 'node', settings)

    def start_target(self, target: TargetPlan) -> Process:
        """Start the process of a target."""
        text = msgspec.json.encode(target).decode()
        command = [sys.executable, '-m', 'standins.target', text]
        return self._start(target.name, command)

    def stop(self) -> None:
        """Terminate all processes; kill those that don't exit in time.

        Raises
        ------
        AssertionError
            A log has an error that nothing handled.
        """
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            while process.running and time.monotonic() < deadline:
                time.sleep(POLL_S)
            process.kill()
        assert not [
            line
            for name in self.processes
            for line in (self.folder / f'{name}.log').read_text().splitlines()
            if _UNHANDLED.search(line)
        ]

    def _start_with_settings(
        self,
        name: str,
        command: str,
        settings: dict[str, Any],
    ) -> Process:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2), 'utf-8')
        return self._start(
            name,
            [*self.program, command, str(path)],
        )

    def _start(self, name: str, command: list[str]) -> Process:
        process = Process(command, self.folder / f'{name}.log')
        self.processes[name] = process
        process.start()
        return process


async def wait_until(
    condition: Callable[[], Any],
    timeout_s: float = READY_TIMEOUT_S,
) -> Any:
    """Poll until a condition, or the coroutine it returns, gives a true value.

    Returns
    -------
    Any
        The value that the condition gave.

    Raises
    ------
    TimeoutError
        If the condition gave no true value within the time-out.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f'condition not met within {timeout_s} s')
        await asyncio.sleep(POLL_S)


async def answers_with_status(
    session: aiohttp.ClientSession,
    url: str,
    host: str,
    status: int = 200,
) -> bool:
    """Whether a GET request with a Host header is answered with a status."""
    try:
        async with session.get(url, headers={'Host': host}) as response:
            await response.read()
            return response.status == status
    except (aiohttp.ClientError, OSError):
        return False


async def submit_configuration_change(
    session: aiohttp.ClientSession,
    api: str,
    kind: str,
    **fields: Any,
) -> int:
    """Submit a configuration change to the API; return its revision."""
    async with session.get(f'{api}/v1/configuration') as response:
        base = (await response.json())['revision']
    command = {
        'change_id': os.urandom(8).hex(),
        'base_revision': base,
        'operator': 'test',
        'change': {'type': kind, **fields},
    }
    async with session.post(f'{api}/v1/changes', json=command) as response:
        content = await response.json()
        assert response.status == 200, content
        return content['revision']
