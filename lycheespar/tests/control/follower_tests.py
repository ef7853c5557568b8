"""Following the control hosts, of which some are silent or cut off."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.configuration.changes import TakeOutDataCentre
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.follower import ConfigurationFollower
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import Failure, PullReply
from lycheespar.control.saved import SavedConfiguration
from lycheespar.tests.virtual import VirtualLoop, run_virtual, until

POLL_S = 0.01


class Group:
    """Accepted changes, and the rounds of their leader."""

    def __init__(self) -> None:
        self.changes: list[TakeOutDataCentre] = []

    def accept(self, name: str) -> None:
        """Accept a change."""
        self.changes.append(TakeOutDataCentre(name))


class Host:
    """Control host that can be cut off from the group or be silent."""

    def __init__(self, group: Group) -> None:
        self._loop = asyncio.get_running_loop()
        self._group = group
        self.cut_at: float | None = None
        self._frozen = (0, Stamp())
        self.silent = False
        self.refusing = False
        self.overlap = 0
        self.pulls = 0

    def cut(self) -> None:
        """Keep what is known now, without the group."""
        self._frozen = (len(self._group.changes), self._stamp())
        self.cut_at = self._loop.time()

    def heal(self) -> None:
        """Follow the group again."""
        self.cut_at = None

    async def ask(self, request, timeout_s):
        """Answer a pull."""
        self.pulls += 1
        if self.silent:
            await asyncio.sleep(timeout_s)
            raise LinkTimeoutError
        if self.refusing:
            return Failure('no_quorum', 'no quorum')
        began_at = self._loop.time()
        ends_at = began_at + request.wait_s
        while self._revision() <= request.revision:
            if self._loop.time() >= ends_at:
                break
            await asyncio.sleep(POLL_S)
        first = max(request.revision - self.overlap, 0)
        return PullReply(
            self._stamp(),
            tuple(self._group.changes[first : self._revision()]),
            held_ms=(self._loop.time() - began_at) * 1000,
            base_revision=first,
        )

    def close(self) -> None:
        """Do nothing."""

    def _revision(self) -> int:
        if self.cut_at is not None:
            return self._frozen[0]
        return len(self._group.changes)

    def _stamp(self) -> Stamp:
        now = self._loop.time()
        if self.cut_at is not None:
            return self._frozen[1].aged(now - self.cut_at)
        number = int(now * 4) + 1
        age_s = now - (number - 1) / 4
        return Stamp(1, self._revision(), number, age_s * 1000)


class Following:
    """A node that follows three control hosts."""

    def __init__(self, saved: SavedConfiguration | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.group = Group()
        self.hosts = [Host(self.group) for _ in range(3)]
        self.view = ConfigurationView(Configuration(), clock=loop.time)
        self.revisions: list[int] = []
        self.view.changes.subscribe(
            lambda found: self.revisions.append(found.revision),
        )
        self.follower = ConfigurationFollower(
            'node-1', self.view, lambda: self.hosts, saved
        )
        self.follower.start()

    def is_fresh(self) -> bool:
        """Whether the node has and confirms the newest revision."""
        newest = self.view.current.revision == len(self.group.changes)
        return newest and self.view.age_s < 2

    def asked(self) -> Host:
        """Return the control host that the node asks now."""
        return max(self.hosts, key=lambda host: host.pulls)


def test_a_change_is_in_force_at_once():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        await until(following.is_fresh, 2)
        for name in 'abcde':
            following.group.accept(name)
            await until(following.is_fresh, 0.5)
        assert following.revisions == sorted(set(following.revisions))

    run_virtual(scenario)


@pytest.mark.parametrize('fault', ['silent', 'refusing', 'cut'])
def test_a_node_turns_from_a_host_that_fails_before_it_is_stale(fault):
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        await until(following.is_fresh, 2)
        asked = following.asked()
        if fault == 'cut':
            asked.cut()
        else:
            setattr(asked, fault, True)
        following.group.accept('a')
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert following.view.age_s < 5
        assert following.is_fresh()

    run_virtual(scenario)


def test_a_stamp_by_gossip_leads_away_from_a_host_that_is_cut_off():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        await until(following.is_fresh, 2)
        asked = following.asked()
        asked.cut()
        following.group.accept('a')
        fresh = next(host for host in following.hosts if host is not asked)
        following.view.confirm(fresh._stamp())
        await until(following.is_fresh, 1)

    run_virtual(scenario)


def test_changes_that_overlap_are_applied_once():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        for host in following.hosts:
            host.overlap = 3
        for name in 'abcdefgh':
            following.group.accept(name)
            await until(following.is_fresh, 2)
        out = following.view.current.data_centres_out
        assert out == frozenset('abcdefgh')

    run_virtual(scenario)


def test_changes_with_a_gap_are_not_applied():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        reply = PullReply(
            Stamp(1, 9, 1),
            (TakeOutDataCentre('x'),),
            base_revision=8,
        )
        assert not following.follower._apply_reply(reply, 0)
        assert following.view.current.revision == 0

    run_virtual(scenario)


def test_an_older_snapshot_does_not_lead_back():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        following.view.replace(Configuration(5))
        reply = PullReply(
            Stamp(1, 4, 1),
            (TakeOutDataCentre('x'),),
            Configuration(3),
        )
        following.follower._apply_reply(reply, 5)
        assert following.view.current == Configuration(5)

    run_virtual(scenario)


def test_pulls_grow_long_while_gossip_confirms_and_short_without():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        host = following.hosts[0]

        async def gossip() -> None:
            while True:
                following.view.confirm(host._stamp())
                await asyncio.sleep(0.2)

        task = asyncio.create_task(gossip())
        await asyncio.sleep(60)
        assert following.follower.wait_s == 8
        task.cancel()
        await asyncio.sleep(30)
        assert following.follower.wait_s == 1
        assert following.view.age_s < 3

    run_virtual(scenario)


def test_pulls_are_rare_while_no_control_host_has_a_quorum():
    async def scenario(loop: VirtualLoop) -> None:
        following = Following()
        for host in following.hosts:
            host.refusing = True
        await asyncio.sleep(60)
        assert sum(host.pulls for host in following.hosts) < 60

    run_virtual(scenario)


async def test_the_last_configuration_is_saved(tmp_path):
    saved = SavedConfiguration(tmp_path)
    following = Following(saved)
    following.group.accept('a')
    while saved.load().revision != 1:
        await asyncio.sleep(POLL_S)
    following.follower.stop()
