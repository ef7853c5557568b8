"""Starts the system's processes and stand-in targets on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
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


# Below the range from which the system takes ports of outgoing connections.
PORTS: Final = range(10_000, 32_000)
# An IP number of this process's own, so that tests in other processes can't
# take the ports that it has chosen but not opened yet.
_PID: Final = os.getpid()
OWN_HOST: Final = (
    f'127.{64 + _PID // 65536 % 64}.{_PID // 256 % 256}.{_PID % 256}'
)

_candidates = itertools.cycle(PORTS)


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, another one at each call."""
    for port in itertools.islice(_candidates, len(PORTS)):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError('no port is free')


class Process:
    """One process that the cluster started."""

    def __init__(self, command: list[str], log: Path) -> None:
        """Remember how to start it; `start` does."""
        self._command = command
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._child is not None
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; its output goes to a file."""
        with self._log.open('ab') as log:
            self._child = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._child is not None
        return self._child.wait(STOP_TIMEOUT_S)


class NodePlan(msgspec.Struct):
    """Addresses of one node.

    Attributes
    ----------
    name, data_centre, host : str
        Who the node is and its IP number.
    http, announce, inner, gossip : int
        Its ports.
    settings : dict
        Further settings.
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
        """Base URL for callers."""
        return f'http://{self.host}:{self.http}'


class Cluster:
    """Control hosts, nodes and targets in processes of their own.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    control_hosts : int
        Number of control hosts.
    """

    def __init__(self, folder: Path, control_hosts: int = 3) -> None:
        """Plan the control hosts; `start` starts all."""
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
        """Base URL of the first control host's operators' API."""
        first = next(iter(self.control_http.values()))
        return f'http://{first}'

    def add_node(
        self,
        name: str,
        data_centre: str,
        host: str = OWN_HOST,
        **settings: Any,
    ) -> NodePlan:
        """Plan a node."""
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
        """Plan a target beside a node, in a process of its own."""
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
        """Start all processes."""
        for name in self.control_peers:
            self.start_control(name)
        for node in self.nodes.values():
            self.start_node(node)
        for target in self.targets.values():
            self.start_target(target)

    def start_control(self, name: str) -> Process:
        """Start a control host."""
        settings = {
            'name': name,
            'data_centre': 'dc-1',
            'http': self.control_http[name],
            'peers': self.control_peers,
            'data_folder': str(self.folder / name),
            **self.control_settings,
        }
        return self._start_system(name, 'control', settings)

    def start_node(self, node: NodePlan) -> Process:
        """Start a node."""
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
        return self._start_system(node.name, 'node', settings)

    def start_target(self, target: TargetPlan) -> Process:
        """Start a target."""
        text = msgspec.json.encode(target).decode()
        command = [sys.executable, '-m', 'standins.target', text]
        return self._start(target.name, command)

    def stop(self) -> None:
        """End all processes: first politely, then at once."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            while process.running and time.monotonic() < deadline:
                time.sleep(POLL_S)
            process.kill()

    def _start_system(
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
    """Wait until a condition, or the coroutine it returns, is true."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError('the condition was not met in time')
        await asyncio.sleep(POLL_S)


async def answers(
    session: aiohttp.ClientSession,
    url: str,
    host: str,
    status: int = 200,
) -> bool:
    """Whether a URL answers with a status."""
    try:
        async with session.get(url, headers={'Host': host}) as response:
            await response.read()
            return response.status == status
    except (aiohttp.ClientError, OSError):
        return False


async def change(
    session: aiohttp.ClientSession,
    api: str,
    kind: str,
    **fields: Any,
) -> int:
    """Make a change through the operators' API and return its revision."""
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
