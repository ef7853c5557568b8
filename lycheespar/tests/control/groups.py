"""Groups of control hosts in one process, with links that can be cut."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import random
import shutil
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest

from lycheespar.configuration.changes import Command, TakeOutDataCentre
from lycheespar.control import files
from lycheespar.control.entries import FormGroup, LogEntry, Proposal
from lycheespar.control.group import Group
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import Failure
from lycheespar.control.peer_messages import PeerReply, PeerRequest
from lycheespar.control.peers import Timing
from lycheespar.control.replica import Replica
from lycheespar.control.state import GroupState
from lycheespar.control.storage import Storage
from lycheespar.errors import ControlError

TIMING: Final = Timing(0.02, 0.15)
# Hosts that take the place of voters that are silent.
REPLACING: Final = Timing(0.02, 0.15, replace_after_s=0.6)
WAIT_S: Final = 30
# Largest delay of a message, and of a late copy of it, in seconds.
DELAY_S: Final = 0.004
LATE_S: Final = 0.5
_requests = msgspec.msgpack.Decoder(PeerRequest)
_replies = msgspec.msgpack.Decoder(PeerReply)
_encoder = msgspec.msgpack.Encoder()


class Network:
    """Links between the hosts; each direction can be cut."""

    def __init__(self, seed: int, late_share: float = 0) -> None:
        """Start whole; `late_share` of the requests come twice, once late."""
        self.hosts: dict[str, Group] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.choose = random.Random(seed)
        self._late_share = late_share
        self._late: set[asyncio.Task[Any]] = set()

    def isolate(self, name: str, others: list[str]) -> None:
        """Cut a host off in both directions."""
        self.cuts |= {(name, other) for other in others}
        self.cuts |= {(other, name) for other in others}

    async def deliver(
        self, source: str, host: str, request: PeerRequest
    ) -> PeerReply:
        """Carry a request there and its reply back; lost ones never come."""
        await asyncio.sleep(self.choose.uniform(0, DELAY_S))
        found = self.hosts.get(host)
        if found is None or (source, host) in self.cuts:
            await asyncio.Event().wait()
        copied = _requests.decode(_encoder.encode(request))
        try:
            reply: PeerReply = await found.handle(copied)
        except ControlError as error:
            reply = Failure(error.code, error.detail)
        if (host, source) in self.cuts or self.hosts.get(host) is not found:
            await asyncio.Event().wait()
        return _replies.decode(_encoder.encode(reply))

    def copy_late(self, source: str, host: str, request: PeerRequest) -> None:
        """Let some requests come a second time, long after the first."""
        if self.choose.random() < self._late_share:
            task = asyncio.create_task(
                self._deliver_late(source, host, request)
            )
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _deliver_late(
        self, source: str, host: str, request: PeerRequest
    ) -> None:
        await asyncio.sleep(self.choose.uniform(0, LATE_S))
        with suppress(TimeoutError):
            async with asyncio.timeout(LATE_S):
                await self.deliver(source, host, request)


class MemoryPeers:
    """Links of one host."""

    def __init__(self, network: Network, source: str) -> None:
        """Keep the network."""
        self._network = network
        self._source = source

    async def ask(
        self, host: str, request: PeerRequest, timeout_s: float
    ) -> PeerReply:
        """Send a request and wait for its reply."""
        self._network.copy_late(self._source, host, request)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._network.deliver(self._source, host, request)
        except TimeoutError as error:
            raise LinkTimeoutError from error


class Host:
    """One control host that can crash and lose its disk."""

    def __init__(
        self,
        name: str,
        names: list[str],
        folder: Path,
        network: Network,
        snapshot_every: int,
    ) -> None:
        """Plan the host; `start` starts it."""
        self.name = name
        self.others = [other for other in names if other != name]
        self.folder = folder / name
        self.network = network
        self.snapshot_every = snapshot_every
        self.timing = TIMING
        self.founding = True
        self.group: Group | None = None
        self.storage: Storage | None = None

    @property
    def running(self) -> bool:
        """Whether the host runs."""
        return self.group is not None

    @property
    def admitted(self) -> bool:
        """Whether the host runs and knows that its disk votes."""
        if self.group is None or self.storage is None:
            return False
        disk = self.storage.identity.disk
        return self.group.state.voters.get(self.name) == disk

    def start(self) -> None:
        """Start from what the disk holds."""
        self.storage = Storage(self.folder)
        replica = Replica(self.name, self.storage, self.snapshot_every)
        self.group = Group(
            replica,
            MemoryPeers(self.network, self.name),
            self.others,
            self.timing,
            random.Random(self.network.choose.random()),
            founding=self.founding,
        )
        self.network.hosts[self.name] = self.group
        self.group.start()

    def crash(self) -> None:
        """End at once; the log may keep a torn record."""
        if self.group is None or self.storage is None:
            return
        self.network.hosts.pop(self.name)
        self.group.stop()
        self.storage.close()
        self.group = self.storage = None
        with (self.folder / 'log').open('ab') as log:
            log.write(self.network.choose.choice((b'', b'\0', b'\0\0\1')))

    def lose_disk(self) -> None:
        """Crash and start with an empty disk."""
        self.crash()
        shutil.rmtree(self.folder)
        self.start()


class Hosts:
    """A group of control hosts."""

    def __init__(
        self,
        folder: Path,
        count: int = 3,
        seed: int = 1,
        late_share: float = 0,
        snapshot_every: int = 20,
    ) -> None:
        """Plan the hosts; `start` starts all."""
        names = [f'control-{index}' for index in range(count)]
        self.network = Network(seed, late_share)
        self.all = [
            Host(name, names, folder, self.network, snapshot_every)
            for name in names
        ]

    def others(self, host: Host) -> list[str]:
        """Return the names of all hosts but one."""
        return [other.name for other in self.all if other is not host]

    def add(self, name: str, seeds: list[str]) -> Host:
        """Start an empty host that knows some others, and that none knows."""
        first = self.all[0]
        host = Host(
            name,
            [*seeds, name],
            first.folder.parent,
            self.network,
            first.snapshot_every,
        )
        host.timing = first.timing
        host.founding = False
        self.all.append(host)
        host.start()
        return host

    @property
    def running(self) -> list[Host]:
        """Hosts that run."""
        return [host for host in self.all if host.running]

    @property
    def leader(self) -> Host | None:
        """Host that leads the newest term, as far as it knows."""
        leaders = [
            host for host in self.running if host.group and host.group.leading
        ]
        return max(
            leaders,
            key=lambda host: host.group.term,  # type: ignore[union-attr]
            default=None,
        )

    def start(self) -> None:
        """Start all hosts."""
        for host in self.all:
            host.start()

    def stop(self) -> None:
        """Stop all hosts."""
        for host in self.all:
            host.crash()

    async def ready(self) -> Host:
        """Wait for a leader and return its host."""
        await until(lambda: self.leader is not None)
        assert self.leader is not None
        return self.leader

    async def whole(self) -> None:
        """Wait until all hosts vote, with the same state."""
        await until(lambda: all(host.admitted for host in self.all))
        leader = await self.ready()
        await leader.group.read()
        await until(lambda: len({h.group.state.index for h in self.all}) == 1)


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(TIMING.heartbeat_s / 4)


def command(change_id: str, base: int, name: str = '') -> Command:
    """Return a command that takes a data centre out."""
    change = TakeOutDataCentre(name or f'dc-{change_id}')
    return Command(change_id, base, 'operator', change)


async def accept(hosts: Hosts, change_id: str) -> int:
    """Have one change accepted and return its revision."""
    leader = await hosts.ready()
    assert leader.group is not None
    base = (await leader.group.read()).revision
    return await leader.group.submit(command(change_id, base))


def fill_disks(monkeypatch: pytest.MonkeyPatch, full: set[str]) -> None:
    """Let no file grow on the disks of the named hosts."""

    def write(file: int, content: bytes) -> int:
        name = Path(os.readlink(f'/proc/self/fd/{file}')).parent.name
        appends = fcntl.fcntl(file, fcntl.F_GETFL) & os.O_APPEND
        room = os.fstat(file).st_size - os.lseek(file, 0, os.SEEK_CUR)
        if name in full and (appends or len(content) > room):
            raise OSError(errno.ENOSPC, 'full')
        return plain_write(file, content)

    plain_write = os.write
    monkeypatch.setattr(files.os, 'write', write)
    monkeypatch.setattr(
        Storage,
        'room',
        property(lambda found: found._folder.name not in full),
    )


def log_entry(index: int) -> LogEntry:
    """Return an entry of a log whose first one forms the group."""
    if index == 1:
        return LogEntry(1, 1, FormGroup('group', {'control-0': 'disk'}))
    return LogEntry(index, 1, Proposal(command(str(index), index - 2)))


def state_at(index: int) -> GroupState:
    """Return the state after the entries of that log up to an index."""
    state = GroupState()
    for position in range(1, index + 1):
        state.apply(log_entry(position))
    return state
