"""Histories of concurrent changes and reads, and a linearizability check."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any, Final

import msgspec

from lycheespar.control.agreement.group import Group
from lycheespar.control.state.state import GroupState
from lycheespar.errors import (
    ChangeConflictError,
    ControlError,
    NoQuorumError,
    StorageError,
    StorageFullError,
)
from lycheespar.tests.control.agreement.groups import (
    Host,
    Hosts,
    command,
    until,
)

# Time-out of one attempt of a change or read, in seconds.
ATTEMPT_TIMEOUT_S: Final = 0.4


class Operation(msgspec.Struct):
    """One change or read of an operator.

    Attributes
    ----------
    began, ended : float
        Times of the call and of its answer in seconds.
    revision : int
        Revision that was created or read.
    change_id : str
        Id of the change; empty for a read.
    base : int
        Base revision of a change.
    outcome : str
        Outcome in the answer to the operator.
    """

    began: float
    ended: float = float('inf')
    revision: int = 0
    change_id: str = ''
    base: int = 0
    outcome: str = 'unknown'


class Recorder:
    """Simulates operators that change and read at any host; records it all."""

    def __init__(self, hosts: Hosts, seed: int) -> None:
        """Create a recorder with an empty history."""
        self.hosts = hosts
        self.operations: list[Operation] = []
        self.last_revisions: dict[Group, int] = {}
        self.regressions: list[str] = []
        self.contradictions: list[str] = []
        self._rng = random.Random(seed)
        self._serial = itertools.count()
        self._loop = asyncio.get_running_loop()

    async def operate(self) -> None:
        """Read, submit a change based on the read and repeat until cancelled.

        Some changes are sent several times with the same change id.
        """
        base = 0
        while True:
            host = self._any_host()
            if host is None:
                await asyncio.sleep(0.01)
                continue
            if self._rng.random() < 0.6:
                base = await self._read(host, base)
            await self._change(base)
            await asyncio.sleep(self._rng.uniform(0, 0.02))

    async def watch(self) -> None:
        """Record each host whose revision decreases, until cancelled."""
        while True:
            for host in self.hosts.running:
                assert host.group is not None
                revision = host.group.state.revision
                if revision < self.last_revisions.get(host.group, 0):
                    self.regressions.append(f'{host.name} at {revision}')
                self.last_revisions[host.group] = revision
            await asyncio.sleep(0.005)

    def _any_host(self) -> Host | None:
        running = self.hosts.running
        return self._rng.choice(running) if running else None

    async def _read(self, host: Host, base: int) -> int:
        operation = Operation(self._loop.time())
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
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
        for _ in range(self._rng.choice((1, 2, 6))):
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
        group = host.group
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                made = await group.submit(command(change_id, base))
        except ChangeConflictError:
            return 'conflict', 0
        except (TimeoutError, NoQuorumError, StorageFullError):
            # An earlier attempt of the same change may still take effect.
            return 'unknown', 0
        except StorageError:
            # A crash of the host closes the log under an attempt in progress.
            if host.group is group:
                raise
            return 'unknown', 0
        return 'accepted', made


def find_violations(recorder: Recorder, final: GroupState) -> list[str]:
    """List contradictions to a single register with compare-and-set."""
    found = [
        *recorder.regressions,
        *recorder.contradictions,
        *_lost_or_repeated(recorder.operations, final),
        *_stale_answers(recorder.operations),
    ]
    return found


def _lost_or_repeated(
    operations: list[Operation], final: GroupState
) -> list[str]:
    made = {line.command.change_id: line.revision for line in final.history}
    found = []
    if len(made) != len(final.history) or len(made) != final.revision:
        found.append('a change was applied twice, or the history has gaps')
    for operation in operations:
        revision = made.get(operation.change_id)
        match operation.outcome:
            case 'accepted' if revision != operation.revision:
                found.append(f'lost: {operation}')
            case 'conflict' if revision is not None:
                found.append(
                    f'conflict was reported, but accepted: {operation}'
                )
        if revision is not None and revision != operation.base + 1:
            found.append(f'accepted against another base: {operation}')
    return found


def _stale_answers(operations: list[Operation]) -> list[str]:
    """List answers with a lower revision than an answer before their call."""
    found = []
    events: list[tuple[float, int, Any]] = []
    for operation in operations:
        if operation.outcome in {'read', 'accepted'}:
            events.append((operation.began, 1, operation))
            events.append((operation.ended, 0, operation))
    min_revision = 0
    min_revisions: dict[int, int] = {}
    for _, kind, operation in sorted(events, key=lambda event: event[:2]):
        if kind:
            min_revisions[id(operation)] = min_revision
        else:
            min_revision = max(min_revision, operation.revision)
            if operation.revision < min_revisions[id(operation)]:
                found.append(f'stale answer: {operation}')
    return found


async def settle(hosts: Hosts) -> GroupState:
    """End all faults, wait until all hosts agree and return their state."""
    hosts.network.cuts.clear()
    for host in hosts.all:
        if not host.running:
            host.start()
    await hosts.wait_until_settled()
    states = [host.group.state for host in hosts.all if host.group]
    await until(lambda: len({state.index for state in states}) == 1)
    contents = {msgspec.json.encode(s, order='deterministic') for s in states}
    assert len(contents) == 1
    return states[0]
