"""Which versions of a service's targets get calls."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OutOfServiceError
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.order import Rollout, RolloutState
from lycheespar.rollouts.versions import (
    SHARE_LEASE_S,
    VersionGate,
    VersionRouting,
)
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.tests.protocol.nodes import new_call

SERVICE = 'records'
OLD, NEW = 'v1', 'v2'
RUNNING = Rollout(SERVICE, NEW, 16.0, share=0.05)


class _Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def _record(index: int, version: str) -> MemberRecord:
    return MemberRecord(
        f'node-{index}',
        1,
        0,
        '10.0.0.1',
        1,
        2,
        'ijmuiden',
        SERVICE,
        f'target-{index}',
        Phase.ready,
        3,
        software_version=version,
    )


def _members(**counts: int) -> MembershipView:
    members = MembershipView()
    versions = [name for name, count in counts.items() for _ in range(count)]
    for index, version in enumerate(versions):
        members.merge(_record(index, version))
    return members


class _Site:
    """A node's routing in front of old and new targets."""

    def __init__(
        self, rollout: Rollout | None, *, seed: int = 1, enabled: bool = True
    ) -> None:
        self.clock = _Clock()
        self.members = _members(v1=6, v2=3)
        self.view = ConfigurationView(Configuration(), clock=self.clock)
        self.routing = VersionRouting(
            self.members, self.view, random.Random(seed), enabled=enabled
        )
        self._revision = 0
        self.set_rollout(rollout)

    def set_rollout(self, rollout: Rollout | None) -> None:
        self._revision += 1
        rollouts = {} if rollout is None else {SERVICE: rollout}
        self.view.update_if_newer(
            Configuration(self._revision, rollouts=rollouts)
        )
        self.confirm()

    def confirm(self) -> None:
        self.clock.now += 0.01
        self.view.accept_stamp(
            Stamp(1, self._revision, int(self.clock.now * 100), 0)
        )

    def versions(self, *, first: bool = True) -> set[str]:
        records = list(self.members.records_of_service(SERVICE))
        narrowed = self.routing.narrow(SERVICE, records, first_attempt=first)
        return {record.software_version for record in narrowed}

    def count_new(self, calls: int) -> int:
        return sum(self.versions() == {NEW} for _ in range(calls))


def test_without_an_order_a_new_version_gets_nothing():
    site = _Site(None)
    assert site.versions() == {OLD}
    assert not site.routing.is_in_service(SERVICE, NEW)


def test_without_versions_by_order_all_targets_get_calls():
    site = _Site(None, enabled=False)
    assert site.versions() == {OLD, NEW}


def test_an_order_without_a_share_exposes_nothing():
    site = _Site(replace(RUNNING, share=0))
    assert site.count_new(100) == 0
    assert not site.routing.is_in_service(SERVICE, NEW)


def test_many_nodes_together_send_the_share_of_first_attempts():
    sites = [_Site(RUNNING, seed=seed) for seed in range(76)]
    calls = 12
    exposed = sum(site.count_new(calls) for site in sites)
    expected = RUNNING.share * calls * len(sites)
    assert abs(exposed - expected) < 0.25 * expected


def test_cold_targets_of_a_new_version_get_no_share():
    site = _Site(replace(RUNNING, share=0.9))
    for record in tuple(site.members.records_of_service(SERVICE)):
        if record.software_version == NEW:
            site.members.merge(replace(record, version=1, phase=Phase.cold))
    assert site.count_new(50) == 0


def test_retries_and_hedges_go_to_the_old_version():
    site = _Site(replace(RUNNING, share=0.9))
    assert all(site.versions(first=False) == {OLD} for _ in range(50))


def test_a_node_out_of_touch_sends_nothing_to_the_new_version():
    site = _Site(replace(RUNNING, share=1.0))
    assert site.versions() == {NEW}
    site.clock.now += SHARE_LEASE_S + 1
    assert site.versions() == {OLD}
    assert not site.routing.is_in_service(SERVICE, NEW)
    site.confirm()
    assert site.versions() == {NEW}


def test_a_version_that_was_rolled_back_gets_nothing():
    site = _Site(RUNNING)
    site.set_rollout(replace(RUNNING, state=RolloutState.rolled_back, share=0))
    assert site.count_new(100) == 0
    assert not site.routing.is_in_service(SERVICE, NEW)
    assert site.routing.is_in_service(SERVICE, OLD)


def test_after_success_only_the_new_version_gets_calls():
    site = _Site(replace(RUNNING, state=RolloutState.succeeded, share=1))
    assert site.versions() == site.versions(first=False) == {NEW}
    assert not site.routing.is_in_service(SERVICE, OLD)


def test_calls_go_back_to_the_old_version_while_no_new_target_is_there():
    site = _Site(replace(RUNNING, share=1.0))
    old = [
        record
        for record in site.members.records_of_service(SERVICE)
        if record.software_version == OLD
    ]
    narrowed = site.routing.narrow(SERVICE, old, first_attempt=True)
    assert {record.software_version for record in narrowed} == {OLD}


def test_targets_of_removed_nodes_do_not_count_towards_a_version():
    members = _members(v1=1, v2=2)
    for node in ('node-1', 'node-2'):
        members.remove(node)
    assert members.versions_of_service(SERVICE) == {OLD: 1}


@pytest.mark.parametrize(('version', 'runs'), [(OLD, True), (NEW, False)])
async def test_the_targets_own_node_refuses_a_version_that_is_out(
    version, runs
):
    """A caller's node may have an older configuration."""

    class _Execution:
        async def execute(self, call):
            return call

    target = LocalTarget()
    target.announce(
        Announcement('t', '', SERVICE, 'a:1', version=version, lease_s=60)
    )
    rolled_back = replace(RUNNING, state=RolloutState.rolled_back)
    gate = VersionGate(_Execution(), target, _Site(rolled_back).routing)
    call = new_call('/a')
    if runs:
        assert await gate.execute(call) is call
        return
    with pytest.raises(OutOfServiceError):
        await gate.execute(call)
