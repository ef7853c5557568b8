"""Steps of roll-outs at control hosts that lead, fail and take over."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from lycheespar.call import Answer, Load
from lycheespar.configuration.changes import apply
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import (
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.control.api.progress import ProgressReport
from lycheespar.errors import (
    DeadlineExceededError,
    InvalidAnswerError,
    NoQuorumError,
    TargetLostError,
)
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts import controller as controller_module
from lycheespar.rollouts.collection import EvidenceDifference, EvidenceTable
from lycheespar.rollouts.controller import INTERVAL_S, RolloutController
from lycheespar.rollouts.evidence import (
    CountedClient,
    EvidenceCounter,
    RouteEvidence,
    TargetEvidence,
    bucket_of,
)
from lycheespar.rollouts.order import RolloutState, StartRollout
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.tests.protocol.nodes import new_call

SERVICE, OLD, NEW = 'records', 'v1', 'v2'
DURATION_S = 16.0


class _Group:
    """State and evidence that all control hosts share."""

    def __init__(self) -> None:
        plan = RoutePlan(1, services={SERVICE: ServiceProfile(SERVICE)})
        self.configuration = apply(Configuration(), PutRoutePlan(plan, 0))
        self.reports: tuple[TargetEvidence, ...] = ()
        self.missing: tuple[str, ...] = ()
        self.has_quorum = True

    @property
    def rollout(self):
        return self.configuration.rollouts[SERVICE]


class _Host:
    """One control host of the group."""

    def __init__(self, group: _Group) -> None:
        self._group = group
        self.leading = True

    @property
    def configuration(self):
        return self._group.configuration

    async def submit(self, command):
        if not self._group.has_quorum:
            raise NoQuorumError
        self._group.configuration = apply(self.configuration, command.change)
        return self.configuration.revision

    async def progress(self, revision):
        return ProgressReport(revision, (), self._group.missing)

    async def evidence(self):
        return self._group.reports


class _Site:
    """A group, its members and calls at the targets of both versions."""

    def __init__(self, monkeypatch) -> None:
        self.now = 1000.0
        monkeypatch.setattr(controller_module, 'boot_time_s', lambda: self.now)
        self.group = _Group()
        self.members = MembershipView()
        for version in (OLD, NEW):
            self.members.merge(_record(version))
        self.hosts = [_Host(self.group) for _ in range(2)]
        self.hosts[1].leading = False
        self._controllers = [
            RolloutController(host, self.members, 0.1) for host in self.hosts
        ]
        self._sequence = 0
        self._answers = {OLD: 0, NEW: 0}
        self._failures = 0

    def order(self) -> None:
        self.group.configuration = apply(
            self.group.configuration, StartRollout(SERVICE, NEW, DURATION_S)
        )

    async def run(self, seconds: float, *, failing: bool = False) -> None:
        """Let time pass, with answers of both versions."""
        for _ in range(int(seconds / INTERVAL_S)):
            self.now += INTERVAL_S
            self._add_answers(failing=failing)
            for controller in self._controllers:
                await controller.look()

    def change_leader(self) -> None:
        for host in self.hosts:
            host.leading = not host.leading

    def _add_answers(self, *, failing: bool) -> None:
        self._sequence += 1
        share = self.group.rollout.share
        added = round(60 * share)
        self._answers[OLD] += 60 - added
        self._answers[NEW] += 0 if failing else added
        self._failures += added if failing else 0
        bucket = bucket_of(60)
        self.group.reports = (
            self._report(OLD, RouteEvidence(0, {bucket: self._answers[OLD]})),
            self._report(
                NEW,
                RouteEvidence(self._failures, {bucket: self._answers[NEW]}),
            ),
        )

    def _report(self, version: str, found: RouteEvidence) -> TargetEvidence:
        return TargetEvidence(
            f'node-{version}',
            '1',
            self._sequence,
            SERVICE,
            version,
            {'lookup': found},
        )


def _record(version: str, phase: Phase = Phase.ready) -> MemberRecord:
    return MemberRecord(
        f'node-{version}',
        1,
        0,
        '10.0.0.1',
        1,
        2,
        'ijmuiden',
        SERVICE,
        version,
        phase,
        6,
        software_version=version,
    )


@pytest.fixture
def site(monkeypatch):
    created = _Site(monkeypatch)
    created.order()
    return created


async def test_a_good_version_gets_all_calls_before_it_has_succeeded(site):
    await site.run(DURATION_S / 2 - 1)
    assert 0 < site.group.rollout.share < 0.1
    await site.run(DURATION_S / 2 + 1)
    assert site.group.rollout.state is RolloutState.succeeded


async def test_a_version_that_fails_is_rolled_back_with_its_evidence(site):
    await site.run(5, failing=True)
    rollout = site.group.rollout
    assert rollout.state is RolloutState.rolled_back
    assert 'failures' in rollout.reason


async def test_a_host_that_does_not_lead_takes_no_step(site):
    site.hosts[0].leading = False
    await site.run(DURATION_S)
    assert site.group.rollout.share == 0


async def test_the_next_leader_goes_on_with_the_time_of_the_order(site):
    await site.run(6)
    site.change_leader()
    await site.run(DURATION_S - 6)
    assert site.group.rollout.state is RolloutState.succeeded


async def test_a_leader_that_starts_anew_takes_the_time_from_the_state(site):
    await site.run(9)
    elapsed_s = site.group.rollout.elapsed_s
    assert elapsed_s >= DURATION_S / 2
    restarted = RolloutController(site.hosts[0], site.members, 0.1)
    site._controllers = [restarted]
    await site.run(1)
    assert site.group.rollout.elapsed_s >= elapsed_s


async def test_a_new_leader_finds_a_bad_version_by_the_totals(site):
    await site.run(1, failing=True)
    site.change_leader()
    await site.run(4, failing=True)
    assert site.group.rollout.state is RolloutState.rolled_back


async def test_without_a_quorum_no_step_is_taken(site):
    site.group.has_quorum = False
    with pytest.raises(NoQuorumError):
        await site.run(1)
    assert site.group.rollout.share == 0
    site.group.has_quorum = True
    await site.run(DURATION_S)
    assert site.group.rollout.state is RolloutState.succeeded


async def test_success_waits_for_nodes_that_have_not_confirmed(site):
    site.group.missing = ('node-v1',)
    while site.group.rollout.share < 1:
        await site.run(INTERVAL_S)
    await site.run(2)
    assert site.group.rollout.state is RolloutState.running
    await site.run(3)
    assert site.group.rollout.state is RolloutState.succeeded


async def test_cold_targets_are_no_room_for_all_calls(site):
    site.members.merge(replace(_record(NEW, Phase.cold), version=1))
    await site.run(DURATION_S + 1)
    assert site.group.rollout.state is RolloutState.rolled_back


def test_lost_doubled_and_late_reports_do_not_change_the_sums():
    table = EvidenceTable()
    difference = EvidenceDifference(SERVICE)
    reports = [
        TargetEvidence(
            'node', '1', number, SERVICE, NEW, {'a': RouteEvidence(number)}
        )
        for number in range(1, 6)
    ]
    failures = 0
    for number in (0, 2, 2, 1, 4, 3):
        table.add(reports[number])
        new, _ = difference.added(table.reports, NEW)
        failures += new.get('a', RouteEvidence()).failures
    assert failures == 5


def test_a_node_that_starts_anew_counts_from_zero():
    table = EvidenceTable()
    difference = EvidenceDifference(SERVICE)
    for start, failures in (('1', 7), ('2', 3)):
        table.add(
            TargetEvidence(
                'node', start, 1, SERVICE, NEW, {'a': RouteEvidence(failures)}
            )
        )
        new, _ = difference.added(table.reports, NEW)
        assert new['a'].failures == failures


class _Client:
    def __init__(self, outcome) -> None:
        self._outcome = outcome

    async def send(self, call, load):
        if isinstance(self._outcome, BaseException):
            raise self._outcome
        return self._outcome


def _counter(*, rolled_out: bool = True, phase: str = 'ready'):
    target = LocalTarget()
    target.announce(
        Announcement(
            't', '', SERVICE, 'a:1', phase=phase, version=NEW, lease_s=60
        )
    )
    return EvidenceCounter('node', 1, target, lambda service: rolled_out)


async def _count(counter, outcome) -> RouteEvidence:
    client = CountedClient(_Client(outcome), counter)
    call = new_call('/a')
    try:
        await client.send(call, Load())
    except Exception:
        assert isinstance(outcome, Exception)
    return counter.report().routes.get(call.request_class, RouteEvidence())


async def test_outcomes_of_calls_count_as_evidence():
    found = await _count(_counter(), Answer(200, (), b'', Load()))
    assert (found.failures, sum(found.answered.values())) == (0, 1)
    found = await _count(_counter(), Answer(500, (), b'', Load()))
    assert (found.failures, found.answered) == (1, {})
    found = await _count(_counter(), Answer(503, (), b'', Load()))
    assert (found.failures, found.answered) == (0, {})
    assert (await _count(_counter(), TargetLostError())).failures == 1
    assert (await _count(_counter(), InvalidAnswerError())).failures == 1
    found = await _count(_counter(), DeadlineExceededError())
    assert sum(found.abandoned.values()) == 1


async def test_a_slow_host_is_not_held_against_the_version():
    class _SlowClient:
        async def send(self, call, load):
            await asyncio.sleep(0.1)
            return Answer(200, (), b'', load)

    buckets = []
    for pace in (1, 5):
        counter = _counter()
        client = CountedClient(_SlowClient(), counter)
        call = new_call('/a')
        await client.send(call, Load(pace=pace))
        buckets += counter.report().routes[call.request_class].answered
    assert buckets[0] - buckets[1] >= bucket_of(100) - bucket_of(25)


@pytest.mark.parametrize('status', [200, 500])
async def test_cold_targets_give_no_evidence(status):
    counter = _counter(phase='cold')
    found = await _count(counter, Answer(status, (), b'', Load()))
    assert found == RouteEvidence()


async def test_without_a_rollout_nothing_is_reported():
    assert _counter(rolled_out=False).report() is None
