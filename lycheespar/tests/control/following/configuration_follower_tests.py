"""Tests of the configuration follower with failing control hosts."""

from __future__ import annotations

import asyncio
import bisect

import pytest

from lycheespar.configuration.changes import TakeOutDataCentre
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.following.configuration_follower import (
    ConfigurationFollower,
)
from lycheespar.control.following.saved import SavedConfiguration
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import Failure, PullReply
from lycheespar.settings.options import Address
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual, until

POLL_S = 0.01


class SimulatedGroup:
    """Accepted changes of a simulated group."""

    def __init__(self) -> None:
        self.changes: list[TakeOutDataCentre] = []
        self._accepted_at: list[float] = []

    def accept(self, name: str) -> None:
        """Accept a change."""
        self.changes.append(TakeOutDataCentre(name))
        self._accepted_at.append(asyncio.get_running_loop().time())

    def revision_at(self, time: float) -> int:
        """Return the number of changes accepted until a time."""
        return bisect.bisect_right(self._accepted_at, time)


class SimulatedHost:
    """Simulated control host that can be isolated, silent or refusing."""

    def __init__(self, group: SimulatedGroup) -> None:
        self.address = Address('127.0.0.1', 7000)
        self._loop = asyncio.get_running_loop()
        self._group = group
        self.isolated_at: float | None = None
        self._frozen = (0, Stamp())
        self.silent = False
        self.connected = True
        self.refusing = False
        self.overlap = 0
        self.delay_s = 0.0
        self.transfer_s = 0.0
        self.pulls = 0

    def isolate(self) -> None:
        """Disconnect from the group; freeze the known state."""
        self._frozen = (len(self._group.changes), self._stamp())
        self.isolated_at = self._loop.time()

    def heal(self) -> None:
        """Reconnect to the group."""
        self.isolated_at = None

    async def ask(self, request, timeout_s):
        """Answer a pull."""
        self.pulls += 1
        if self.silent or not self.connected:
            await asyncio.sleep(timeout_s)
            raise LinkTimeoutError
        if self.refusing:
            return Failure('no_quorum', 'no quorum')
        pull_started_at = self._loop.time()
        ends_at = pull_started_at + request.wait_s
        while self._revision() <= request.revision:
            if self._loop.time() >= ends_at:
                break
            await asyncio.sleep(POLL_S)
        if self.transfer_s > timeout_s - (self._loop.time() - pull_started_at):
            await asyncio.sleep(timeout_s)
            raise LinkTimeoutError
        await asyncio.sleep(self.transfer_s)
        first = max(request.revision - self.overlap, 0)
        return PullReply(
            self._stamp(),
            tuple(self._group.changes[first : self._revision()]),
            held_ms=(self._loop.time() - pull_started_at) * 1000,
            base_revision=first,
        )

    def close(self) -> None:
        """Do nothing; part of the link's interface."""

    def _revision(self) -> int:
        if self.isolated_at is not None:
            return self._frozen[0]
        return self._group.revision_at(self._loop.time() - self.delay_s)

    def _stamp(self) -> Stamp:
        now = self._loop.time()
        if self.isolated_at is not None:
            return self._frozen[1].with_added_age(now - self.isolated_at)
        number = int(now * 4) + 1
        age_s = now - (number - 1) / 4
        return Stamp(1, self._revision(), number, age_s * 1000)


class FollowerSetup:
    """A follower with simulated control hosts."""

    def __init__(
        self,
        saved: SavedConfiguration | None = None,
        node: str = 'node-1',
        hosts: int = 3,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.group = SimulatedGroup()
        self.hosts = [SimulatedHost(self.group) for _ in range(hosts)]
        self.view = ConfigurationView(Configuration(), clock=loop.time)
        self.revisions: list[int] = []
        self.view.changes.subscribe(
            lambda configuration: self.revisions.append(configuration.revision),
        )
        self.follower = ConfigurationFollower(
            node, self.view, lambda: self.hosts, saved
        )
        self.follower.start()

    def is_fresh(self) -> bool:
        """Whether the node has the newest revision, recently confirmed."""
        newest = self.view.current.revision == len(self.group.changes)
        return newest and self.view.age_s < 2

    def pulled_from(self) -> SimulatedHost:
        """Return the control host that the node pulls from."""
        return max(self.hosts, key=lambda host: host.pulls)


def test_changes_are_applied_promptly():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        await until(setup.is_fresh, 2)
        for name in 'abcde':
            setup.group.accept(name)
            await until(setup.is_fresh, 0.5)
        assert setup.revisions == sorted(set(setup.revisions))

    run_virtual(scenario)


@pytest.mark.parametrize('fault', ['silent', 'refusing', 'cut'])
def test_node_leaves_a_failed_host_before_it_is_stale(fault):
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        await until(setup.is_fresh, 2)
        pulled_from = setup.pulled_from()
        if fault == 'cut':
            pulled_from.isolate()
        else:
            setattr(pulled_from, fault, True)
        setup.group.accept('a')
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert setup.view.age_s < 5
        assert setup.is_fresh()

    run_virtual(scenario)


@pytest.mark.parametrize('node', [f'node-{number}' for number in range(20)])
def test_a_node_is_current_soon_after_most_lost_hosts_are_back(node):
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup(node=node, hosts=5)
        await until(setup.is_fresh, 2)
        for host in setup.hosts:
            host.connected = False
        await asyncio.sleep(8)
        setup.group.accept('a')
        for host in setup.hosts[:3]:
            host.connected = True
        await until(setup.is_fresh, 2)

    run_virtual(scenario)


@pytest.mark.parametrize('node', [f'node-{number}' for number in range(20)])
def test_a_silent_host_costs_no_more_time_after_others_have_refused(node):
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup(node=node)
        await until(setup.is_fresh, 2)
        for host in setup.hosts:
            host.refusing = True
        await asyncio.sleep(30)
        for host in setup.hosts:
            host.refusing = False
        setup.hosts[0].silent = True
        setup.group.accept('a')
        setup.view.accept_stamp(setup.hosts[1]._stamp())
        await until(setup.is_fresh, 2)

    run_virtual(scenario)


def test_a_node_on_a_slow_link_gets_a_large_reply():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        for host in setup.hosts:
            host.transfer_s = 1.5
        setup.group.accept('a')
        await until(lambda: setup.view.current.revision, 20)

    run_virtual(scenario)


@pytest.mark.parametrize('gap_s', [0.03, 0.25])
def test_a_node_keeps_up_with_changes_that_gossip_announces_first(gap_s):
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup(hosts=5)
        for host in setup.hosts:
            host.delay_s = 0.3
        await until(setup.is_fresh, 2)
        for number in range(1, 61):
            setup.group.accept(str(number))
            setup.view.accept_stamp(Stamp(1, number, 1000 + number, 20))
            await asyncio.sleep(gap_s)
            behind_at = setup.group.revision_at(loop.time() - 0.8)
            assert setup.view.current.revision >= behind_at

    run_virtual(scenario)


@pytest.mark.parametrize('node', [f'node-{number}' for number in range(20)])
def test_a_gossiped_change_ends_the_backoff_of_a_node(node):
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup(node=node, hosts=5)
        await until(setup.is_fresh, 2)
        for host in setup.hosts:
            host.refusing = True
        await asyncio.sleep(8)
        for host in setup.hosts:
            host.refusing = False
        setup.group.accept('a')
        await asyncio.sleep(0.1)
        setup.view.accept_stamp(setup.hosts[0]._stamp())
        await until(setup.is_fresh, 0.5)

    run_virtual(scenario)


def test_gossiped_stamp_makes_a_node_leave_an_isolated_host():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        await until(setup.is_fresh, 2)
        pulled_from = setup.pulled_from()
        pulled_from.isolate()
        setup.group.accept('a')
        fresh = next(host for host in setup.hosts if host is not pulled_from)
        setup.view.accept_stamp(fresh._stamp())
        await until(setup.is_fresh, 1)

    run_virtual(scenario)


def test_overlapping_changes_are_applied_once():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        for host in setup.hosts:
            host.overlap = 3
        for name in 'abcdefgh':
            setup.group.accept(name)
            await until(setup.is_fresh, 2)
        out = setup.view.current.data_centres_out
        assert out == frozenset('abcdefgh')

    run_virtual(scenario)


def test_changes_with_a_gap_are_not_applied():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        reply = PullReply(
            Stamp(1, 9, 1),
            (TakeOutDataCentre('x'),),
            base_revision=8,
        )
        assert not setup.follower._apply_reply(reply, 0)
        assert setup.view.current.revision == 0

    run_virtual(scenario)


def test_older_snapshot_is_ignored():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        setup.view.update_if_newer(Configuration(5))
        reply = PullReply(
            Stamp(1, 4, 1),
            (TakeOutDataCentre('x'),),
            Configuration(3),
        )
        setup.follower._apply_reply(reply, 5)
        assert setup.view.current == Configuration(5)

    run_virtual(scenario)


def test_long_poll_time_depends_on_gossip_confirmations():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        host = setup.hosts[0]

        async def gossip() -> None:
            while True:
                setup.view.accept_stamp(host._stamp())
                await asyncio.sleep(0.2)

        task = asyncio.create_task(gossip())
        await asyncio.sleep(60)
        assert setup.follower.wait_s == 8
        task.cancel()
        await asyncio.sleep(30)
        assert setup.follower.wait_s == 1
        assert setup.view.age_s < 3

    run_virtual(scenario)


def test_pulls_back_off_while_no_host_has_a_quorum():
    async def scenario(loop: VirtualLoop) -> None:
        setup = FollowerSetup()
        for host in setup.hosts:
            host.refusing = True
        await asyncio.sleep(60)
        assert sum(host.pulls for host in setup.hosts) < 60

    run_virtual(scenario)


async def test_newest_configuration_is_saved(tmp_path):
    saved = SavedConfiguration(tmp_path)
    setup = FollowerSetup(saved)
    setup.group.accept('a')
    while saved.load().revision != 1:
        await asyncio.sleep(POLL_S)
    setup.follower.stop()
