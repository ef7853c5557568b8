"""Histories of concurrent changes and reads, and their check."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any, Final

import msgspec

from lycheespar.control.group import Group
from lycheespar.control.state import GroupState
from lycheespar.errors import (
    ChangeConflictError,
    ControlError,
    NoQuorumError,
    StorageFullError,
)
from lycheespar.tests.control.groups import Host, Hosts, command, until

ATTEMPT_S: Final = 0.4


class Operation(msgspec.Struct):
    """One change or read of an operator.

    Attributes
    ----------
    began, ended : float
        Times of the call and of its answer, in seconds.
    revision : int
        Revision made or read.
    change_id : str
        Empty for a read.
    base : int
        Base revision of a change.
    outcome : str
        What the operator was told.
    """

    began: float
    ended: float = float('inf')
    revision: int = 0
    change_id: str = ''
    base: int = 0
    outcome: str = 'unknown'


class Recorder:
    """Operators that change, resend and read at any host."""

    def __init__(self, hosts: Hosts, seed: int) -> None:
        """Prepare an empty history."""
        self.hosts = hosts
        self.operations: list[Operation] = []
        self.seen: dict[Group, int] = {}
        self.steps_back: list[str] = []
        self.contradictions: list[str] = []
        self._choose = random.Random(seed)
        self._serial = itertools.count()
        self._loop = asyncio.get_running_loop()

    async def operate(self) -> None:
        """Read, change from what was read, resend now and then; for ever."""
        base = 0
        while True:
            host = self._any_host()
            if host is None:
                await asyncio.sleep(0.01)
                continue
            if self._choose.random() < 0.6:
                base = await self._read(host, base)
            await self._change(base)
            await asyncio.sleep(self._choose.uniform(0, 0.02))

    async def watch(self) -> None:
        """Note each process whose revision goes back; for ever."""
        while True:
            for host in self.hosts.running:
                assert host.group is not None
                revision = host.group.state.revision
                if revision < self.seen.get(host.group, 0):
                    self.steps_back.append(f'{host.name} at {revision}')
                self.seen[host.group] = revision
            await asyncio.sleep(0.005)

    def _any_host(self) -> Host | None:
        running = self.hosts.running
        return self._choose.choice(running) if running else None

    async def _read(self, host: Host, base: int) -> int:
        operation = Operation(self._loop.time())
        try:
            async with asyncio.timeout(ATTEMPT_S):
                assert host.group is not None
                operation.revision = (await host.group.read()).revision
        except (TimeoutError, ControlError):
            return base
        operation.ended = self._loop.time()
        operation.outcome = 'read'
        self.operations.append(operation)
        return operation.revision

    async def _change(self, base: int) -> None:
        change_id = str(next(self._serial))
        operation = Operation(self._loop.time(), change_id=change_id, base=base)
        self.operations.append(operation)
        for _ in range(self._choose.choice((1, 2, 6))):
            outcome = await self._attempt(change_id, base)
            if outcome == ('unknown', 0):
                continue
            if operation.outcome == 'unknown':
                operation.ended = self._loop.time()
                operation.outcome, operation.revision = outcome
            elif outcome != (operation.outcome, operation.revision):
                self.contradictions.append(f'{operation} then {outcome}')

    async def _attempt(self, change_id: str, base: int) -> tuple[str, int]:
        host = self._any_host()
        if host is None or host.group is None:
            await asyncio.sleep(0.01)
            return 'unknown', 0
        try:
            async with asyncio.timeout(ATTEMPT_S):
                made = await host.group.submit(command(change_id, base))
        except ChangeConflictError:
            return 'conflict', 0
        except (TimeoutError, NoQuorumError, StorageFullError):
            # An earlier attempt of the same change may still take effect.
            return 'unknown', 0
        return 'accepted', made


def problems_of(recorder: Recorder, final: GroupState) -> list[str]:
    """List what contradicts a single register with compare-and-set."""
    found = [
        *recorder.steps_back,
        *recorder.contradictions,
        *_lost_or_doubled(recorder.operations, final),
        *_out_of_order(recorder.operations),
    ]
    return found


def _lost_or_doubled(
    operations: list[Operation], final: GroupState
) -> list[str]:
    made = {line.command.change_id: line.revision for line in final.history}
    found = []
    if len(made) != len(final.history) or len(made) != final.revision:
        found.append('a change took effect twice, or the history has gaps')
    for operation in operations:
        revision = made.get(operation.change_id)
        match operation.outcome:
            case 'accepted' if revision != operation.revision:
                found.append(f'lost: {operation}')
            case 'conflict' if revision is not None:
                found.append(f'refused but in force: {operation}')
        if revision is not None and revision != operation.base + 1:
            found.append(f'accepted against another base: {operation}')
    return found


def _out_of_order(operations: list[Operation]) -> list[str]:
    """Each answer must show all that was answered before its call."""
    found = []
    events: list[tuple[float, int, Any]] = []
    for operation in operations:
        if operation.outcome in {'read', 'accepted'}:
            events.append((operation.began, 1, operation))
            events.append((operation.ended, 0, operation))
    floor = 0
    floors: dict[int, int] = {}
    for _, kind, operation in sorted(events, key=lambda event: event[:2]):
        if kind:
            floors[id(operation)] = floor
        else:
            floor = max(floor, operation.revision)
            if operation.revision < floors[id(operation)]:
                found.append(f'stale answer: {operation}')
    return found


async def settle(hosts: Hosts) -> GroupState:
    """End all faults, wait for a whole group and return its state."""
    hosts.network.cuts.clear()
    for host in hosts.all:
        if not host.running:
            host.start()
    await hosts.whole()
    states = [host.group.state for host in hosts.all if host.group]
    await until(lambda: len({state.index for state in states}) == 1)
    contents = {msgspec.json.encode(s, order='deterministic') for s in states}
    assert len(contents) == 1
    return states[0]
