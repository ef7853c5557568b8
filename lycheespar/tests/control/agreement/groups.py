"""Groups of control hosts in one process, with a simulated network."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import random
import shutil
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest

from lycheespar.configuration.changes import (
    Command,
    ReturnDataCentre,
    TakeOutDataCentre,
)
from lycheespar.control.agreement.group import Group
from lycheespar.control.agreement.peer_messages import PeerReply, PeerRequest
from lycheespar.control.agreement.peers import Timing
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import Failure
from lycheespar.control.state.entries import FormGroup, LogEntry, Proposal
from lycheespar.control.state.state import GroupState
from lycheespar.control.storage import files
from lycheespar.control.storage.storage import Storage
from lycheespar.errors import ControlError

TIMING: Final = Timing(0.02, 0.15)
# Timing of groups that replace silent voters.
REPLACING: Final = Timing(0.02, 0.15, replace_after_s=0.6)
# Time-out in seconds of `until`.
CONDITION_TIMEOUT_S: Final = 30
# Largest delays of a message, and of a redelivered copy of it, in seconds.
MAX_DELAY_S: Final = 0.004
MAX_REDELIVERY_DELAY_S: Final = 0.5
_requests = msgspec.msgpack.Decoder(PeerRequest)
_replies = msgspec.msgpack.Decoder(PeerReply)
_encoder = msgspec.msgpack.Encoder()


class Network:
    """Simulated links between hosts; each direction can be cut."""

    def __init__(self, seed: int, late_share: float = 0) -> None:
        """Connect all hosts; redeliver `late_share` of the requests late."""
        self.hosts: dict[str, Group] = {}
        self.cuts: set[tuple[str, str]] = set()
        # Bytes per second of each link, and until when each link is busy.
        self.bytes_per_s = float('inf')
        self._busy_until: dict[tuple[str, str], float] = {}
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        self.rng = random.Random(seed)
        self._late_share = late_share
        self._redeliveries: set[asyncio.Task[Any]] = set()

    def isolate(self, name: str, others: list[str]) -> None:
        """Cut all links of a host in both directions."""
        self.cuts |= {(name, other) for other in others}
        self.cuts |= {(other, name) for other in others}

    async def deliver(
        self, source: str, host: str, request: PeerRequest
    ) -> PeerReply:
        """Deliver a request and return its reply; wait for ever on loss."""
        encoded_request = _encoder.encode(request)
        await asyncio.sleep(self.rng.uniform(0, MAX_DELAY_S))
        await self._transmit(source, host, len(encoded_request))
        found = self.hosts.get(host)
        if found is None or (source, host) in self.cuts:
            await asyncio.Event().wait()
        decoded_request = _requests.decode(encoded_request)
        try:
            reply: PeerReply = await found.handle(decoded_request)
        except ControlError as error:
            reply = Failure(error.code, error.detail)
        if (host, source) in self.cuts or self.hosts.get(host) is not found:
            await asyncio.Event().wait()
        return _replies.decode(_encoder.encode(reply))

    async def _transmit(self, source: str, host: str, size: int) -> None:
        """Wait until a message has passed a link behind the earlier ones."""
        now = asyncio.get_running_loop().time()
        starts_at = max(now, self._busy_until.get((source, host), now))
        ends_at = starts_at + size / self.bytes_per_s
        self._busy_until[source, host] = ends_at
        self.sent_bytes[source, host] += size
        await asyncio.sleep(ends_at - now)

    def redeliver_randomly(
        self, source: str, host: str, request: PeerRequest
    ) -> None:
        """Redeliver a random share of the requests after a long delay."""
        if self.rng.random() < self._late_share:
            task = asyncio.create_task(self._redeliver(source, host, request))
            self._redeliveries.add(task)
            task.add_done_callback(self._redeliveries.discard)

    async def _redeliver(
        self, source: str, host: str, request: PeerRequest
    ) -> None:
        await asyncio.sleep(self.rng.uniform(0, MAX_REDELIVERY_DELAY_S))
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_REDELIVERY_DELAY_S):
                await self.deliver(source, host, request)


class SimulatedPeers:
    """Links of one host over the simulated network."""

    def __init__(self, network: Network, source: str) -> None:
        """Create the links of a source host."""
        self._network = network
        self._source = source

    async def ask(
        self, host: str, request: PeerRequest, timeout_s: float
    ) -> PeerReply:
        """Send a request and wait for its reply."""
        self._network.redeliver_randomly(self._source, host, request)
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
        """Create a stopped host; `start` starts it."""
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
        """Whether the host is running."""
        return self.group is not None

    @property
    def is_voter(self) -> bool:
        """Whether the host is running and knows that its disk votes."""
        if self.group is None or self.storage is None:
            return False
        disk = self.storage.identity.disk
        return self.group.state.voters.get(self.name) == disk

    def start(self) -> None:
        """Start with the data on the disk."""
        self.storage = Storage(self.folder)
        replica = Replica(self.name, self.storage, self.snapshot_every)
        self.group = Group(
            replica,
            SimulatedPeers(self.network, self.name),
            self.others,
            self.timing,
            random.Random(self.network.rng.random()),
            founding=self.founding,
        )
        self.network.hosts[self.name] = self.group
        self.group.start()

    def crash(self) -> None:
        """Crash, possibly leaving a torn record at the end of the log."""
        if self.group is None or self.storage is None:
            return
        self.network.hosts.pop(self.name)
        self.group.stop()
        self.storage.close()
        self.group = self.storage = None
        with (self.folder / 'log').open('ab') as log:
            log.write(self.network.rng.choice((b'', b'\0', b'\0\0\1')))

    async def stop(self) -> None:
        """Stop as planned: leave the group, then end."""
        assert self.group is not None
        await self.group.leave()
        self.crash()

    def lose_disk(self) -> None:
        """Crash and restart with an empty disk."""
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
        """Create stopped hosts; `start` starts all."""
        names = [f'control-{index}' for index in range(count)]
        self.network = Network(seed, late_share)
        self.all = [
            Host(name, names, folder, self.network, snapshot_every)
            for name in names
        ]

    def others(self, host: Host) -> list[str]:
        """Return the names of all hosts except one."""
        return [other.name for other in self.all if other is not host]

    def add(self, name: str, seeds: list[str]) -> Host:
        """Start an empty host that knows the seeds and that no host knows."""
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
        """Hosts that are running."""
        return [host for host in self.all if host.running]

    @property
    def leader(self) -> Host | None:
        """Host that considers itself the leader, in the newest such term."""
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

    async def wait_for_leader(self) -> Host:
        """Wait for a leader and return its host."""
        await until(lambda: self.leader is not None)
        assert self.leader is not None
        return self.leader

    async def wait_until_settled(self) -> None:
        """Wait until all hosts vote and have applied the same entries."""
        await until(lambda: all(host.is_voter for host in self.all))
        leader = await self.wait_for_leader()
        await leader.group.read()
        await until(lambda: len({h.group.state.index for h in self.all}) == 1)


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(TIMING.heartbeat_s / 4)


def command(change_id: str, base: int, name: str = '') -> Command:
    """Return a command that takes a data centre out."""
    change = TakeOutDataCentre(name or f'dc-{change_id}')
    return Command(change_id, base, 'operator', change)


async def accept(hosts: Hosts, change_id: str) -> int:
    """Submit a change to the leader and return its revision."""
    leader = await hosts.wait_for_leader()
    assert leader.group is not None
    base = (await leader.group.read()).revision
    return await leader.group.submit(command(change_id, base))


def large_command(number: int, size: int) -> Command:
    """Return a command of about that many bytes, which changes little."""
    change = ReturnDataCentre('x' * size)
    return Command(f'large-{number}', number, 'operator', change)


def fill_disks(
    monkeypatch: pytest.MonkeyPatch,
    full: set[str],
    failing_call: str = 'write',
) -> None:
    """Make calls that need disk space fail at the named hosts.

    Some file systems reserve no space before a sync (`fsync`), and on some a
    full disk also refuses to shorten a file (`ftruncate`).
    """
    fill_writes(monkeypatch, full)
    if failing_call == 'write':
        return

    def call(file: int, *arguments: int) -> None:
        folder = Path(os.readlink(f'/proc/self/fd/{file}')).parent
        if folder.name in full:
            raise OSError(errno.ENOSPC, 'full')
        original_call(file, *arguments)

    original_call = getattr(os, failing_call)
    monkeypatch.setattr(os, failing_call, call)


def fill_writes(monkeypatch: pytest.MonkeyPatch, full: set[str]) -> None:
    """Make writes that need disk space fail at the named hosts."""

    def write(file: int, content: bytes) -> int:
        name = Path(os.readlink(f'/proc/self/fd/{file}')).parent.name
        appends = fcntl.fcntl(file, fcntl.F_GETFL) & os.O_APPEND
        free_bytes = os.fstat(file).st_size - os.lseek(file, 0, os.SEEK_CUR)
        if name in full and (appends or len(content) > free_bytes):
            raise OSError(errno.ENOSPC, 'full')
        return original_write(file, content)

    original_write = os.write
    monkeypatch.setattr(files.os, 'write', write)
    monkeypatch.setattr(
        Storage,
        'has_free_space',
        property(lambda found: found._folder.name not in full),
    )


def log_entry(index: int) -> LogEntry:
    """Return an entry of an example log; its first entry forms the group."""
    if index == 1:
        return LogEntry(1, 1, FormGroup('group', {'control-0': 'disk'}))
    return LogEntry(index, 1, Proposal(command(str(index), index - 2)))


def state_at(index: int) -> GroupState:
    """Return the state after the example log's entries up to an index."""
    state = GroupState()
    for position in range(1, index + 1):
        state.apply(log_entry(position))
    return state
