"""Tests of crash detection and of the isolation of suspects."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.admission.crash_guard import CrashGuard
from lycheespar.admission.suspects import SuspectTable, Verdict
from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    CrashSuspectError,
    InvalidAnswerError,
    OverloadedError,
    TargetLostError,
)
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.tests.protocol.nodes import new_call


class _Target:
    """Runs calls until the test ends or crashes them."""

    def __init__(self) -> None:
        self.running: dict[str, asyncio.Future] = {}
        self.max_running = 0

    async def execute(self, call: Call) -> Answer:
        call.started = True
        ended = asyncio.get_running_loop().create_future()
        self.running[call.path] = ended
        self.max_running = max(self.max_running, len(self.running))
        try:
            await ended
        finally:
            self.running.pop(call.path)
        return Answer(200, (), b'', Load())

    def end(self, path: str) -> None:
        self.running[path].set_result(None)

    def crash(self) -> None:
        for ended in self.running.values():
            ended.set_exception(TargetLostError())


def fingerprint(path: str) -> bytes:
    """Return a fingerprint for a path of at most 16 characters."""
    return path.encode().ljust(16)


class _Node:
    """Crash guard of a node with its target and its suspects."""

    def __init__(self) -> None:
        self.target = _Target()
        self.local = LocalTarget()
        self.suspects = SuspectTable(BroadcastTable())
        self.is_designated = True
        self.guard = CrashGuard(
            self.target,
            self.local,
            self.suspects,
            lambda service, fingerprint: self.is_designated,
        )

    async def start(self, *paths: str) -> list[asyncio.Task]:
        """Start calls, with their paths as fingerprints."""
        tasks = []
        for path in paths:
            call = new_call(path)
            call.fingerprint = fingerprint(path)
            tasks.append(asyncio.create_task(self.guard.execute(call)))
        await asyncio.sleep(0.01)
        return tasks

    def verdict(self, path: str) -> Verdict:
        return self.suspects.verdict(fingerprint(path))

    async def crash(self, *paths: str) -> None:
        """Start calls and crash the target while they run."""
        tasks = await self.start(*paths)
        self.target.crash()
        await asyncio.gather(*tasks, return_exceptions=True)
        while self.guard._tasks:
            await asyncio.sleep(0)


@pytest.fixture
async def node():
    created = _Node()
    created.local.announce(
        Announcement('t', 'a', 'b', '127.0.0.1:1', incarnation='1', lease_s=60),
    )
    return created


async def test_a_refused_connection_confirms_a_crash(node):
    await node.crash('/a', '/b')
    assert node.verdict('/a') is node.verdict('/b') is Verdict.suspect


async def test_a_listening_target_has_crashed_only_if_it_restarts(node):
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    node.local.announce(
        Announcement('t', 'a', 'b', f'127.0.0.1:{port}', incarnation='1'),
    )
    await node.crash('/a')
    assert node.verdict('/a') is Verdict.clear
    node.local.announce(
        Announcement('t', 'a', 'b', f'127.0.0.1:{port}', incarnation='2'),
    )
    assert node.verdict('/a') is Verdict.suspect
    server.close()


async def test_a_port_that_closes_after_its_connections_confirms_a_crash(node):
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    node.local.announce(
        Announcement('t', 'a', 'b', f'127.0.0.1:{port}', incarnation='1'),
    )
    asyncio.get_running_loop().call_later(0.05, server.close)
    await node.crash('/a')
    assert node.verdict('/a') is Verdict.suspect


async def test_a_crash_soon_after_a_broken_answer_is_blamed_on_its_own_requests(
    node,
):
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    node.local.announce(
        Announcement('t', 'a', 'b', f'127.0.0.1:{port}', incarnation='1'),
    )
    await node.crash('/broken-answer')
    server.close()
    await node.crash('/crash')
    assert node.verdict('/crash') is Verdict.suspect
    assert node.verdict('/broken-answer') is Verdict.clear


async def test_a_port_that_closes_very_late_hides_no_request_that_broke_first(
    node,
):
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    node.local.announce(
        Announcement('t', 'a', 'b', f'127.0.0.1:{port}', incarnation='1'),
    )
    crashing, slow = await node.start('/crash', '/slow')
    node.target.running['/crash'].set_exception(TargetLostError())
    await asyncio.gather(crashing, return_exceptions=True)
    while node.guard._tasks:
        await asyncio.sleep(0)
    server.close()
    node.target.running['/slow'].set_exception(TargetLostError())
    await asyncio.gather(slow, return_exceptions=True)
    while node.guard._tasks:
        await asyncio.sleep(0)
    assert node.verdict('/crash') is Verdict.suspect
    assert node.suspects.evidence(fingerprint('/slow')).crashes == 1


async def test_connections_that_break_late_in_a_crash_make_no_second_crash(
    node,
):
    crashing, slow = await node.start('/crash', '/slow')
    node.target.running['/crash'].set_exception(TargetLostError())
    await asyncio.gather(crashing, return_exceptions=True)
    while node.guard._tasks:
        await asyncio.sleep(0)
    node.target.running['/slow'].set_exception(TargetLostError())
    await asyncio.gather(slow, return_exceptions=True)
    while node.guard._tasks:
        await asyncio.sleep(0)
    assert node.suspects.evidence(fingerprint('/slow')).crashes == 1


async def test_a_suspect_runs_alone_and_is_cleared(node):
    await node.crash('/a', '/b')
    first = await node.start('/c')
    suspect = await node.start('/a')
    after = await node.start('/d')
    assert set(node.target.running) == {'/c'}
    node.target.end('/c')
    await asyncio.sleep(0.01)
    assert set(node.target.running) == {'/a'}
    node.target.end('/a')
    await asyncio.sleep(0.01)
    assert set(node.target.running) == {'/d'}
    node.target.end('/d')
    await asyncio.gather(*first, *suspect, *after)
    assert node.verdict('/a') is Verdict.clear
    assert node.verdict('/b') is Verdict.suspect


async def test_two_suspects_run_one_after_the_other(node):
    await node.crash('/a', '/b')
    node.target.max_running = 0
    tasks = await node.start('/a', '/b')
    for _ in range(2):
        (path,) = node.target.running
        node.target.end(path)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    assert node.target.max_running == 1


async def test_other_calls_are_refused_while_a_suspect_runs(node):
    await node.crash('/a')
    suspect = await node.start('/a')
    (other,) = await node.start('/c')
    with pytest.raises(OverloadedError):
        await other
    node.target.end('/a')
    await asyncio.gather(*suspect)


async def test_a_suspect_is_refused_by_nodes_not_designated_for_it(node):
    await node.crash('/a')
    node.is_designated = False
    (refused,) = await node.start('/a')
    with pytest.raises(CrashSuspectError):
        await refused


async def test_a_request_in_two_crashes_is_refused(node):
    await node.crash('/a', '/b')
    await node.crash('/a')
    (refused,) = await node.start('/a')
    assert not node.target.running
    with pytest.raises(CrashSuspectError):
        await refused
    (harmless,) = await node.start('/b')
    node.target.end('/b')
    await harmless


async def test_a_request_that_crashes_alone_is_refused_despite_former_company(
    node,
):
    for _ in range(2):
        node.suspects.report([fingerprint('/a'), fingerprint('/b')])
    await node.crash('/a')
    (refused,) = await node.start('/a')
    assert not node.target.running
    with pytest.raises(CrashSuspectError):
        await refused
    (harmless,) = await node.start('/b')
    node.target.end('/b')
    await harmless


async def test_an_invalid_answer_before_a_restart_convicts_no_request(node):
    """Requests that run at a target in trouble would be refused everywhere."""
    tasks = await node.start('/a', '/b')
    node.target.running['/a'].set_exception(InvalidAnswerError())
    await asyncio.gather(tasks[0], return_exceptions=True)
    node.local.announce(
        Announcement('t', 'a', 'b', '127.0.0.1:1', incarnation='2'),
    )
    node.target.end('/b')
    await tasks[1]
    assert not node.guard._tasks
    assert node.verdict('/a') is node.verdict('/b') is Verdict.clear
