"""Tests of groups of control hosts with single faults."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.configuration.stamp import Stamp
from lycheespar.control.agreement.peer_messages import (
    LogPosition,
    RequestVote,
    StampReply,
)
from lycheespar.control.agreement.relay import StampRelay
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.messages import Failure
from lycheespar.errors import (
    ChangeConflictError,
    ChangeInvalidError,
)
from lycheespar.tests.control.agreement.groups import (
    TIMING,
    Hosts,
    accept,
    command,
    until,
)

pytestmark = pytest.mark.virtual_clock


async def test_every_host_accepts_changes(hosts):
    await hosts.wait_until_settled()
    for revision, host in enumerate(hosts.all):
        created = await host.group.submit(command(host.name, revision))
        assert created == revision + 1


async def test_one_of_two_concurrent_changes_is_accepted(hosts):
    await hosts.wait_until_settled()
    outcomes = await asyncio.gather(
        hosts.all[0].group.submit(command('one', 0)),
        hosts.all[1].group.submit(command('two', 0)),
        return_exceptions=True,
    )
    rejected = [found for found in outcomes if found != 1]
    assert len(rejected) == 1
    assert isinstance(rejected[0], ChangeConflictError)
    assert rejected[0].revision == 1


async def test_invalid_change_is_rejected_before_replication(hosts):
    await hosts.wait_until_settled()
    before = hosts.leader.storage.last_index
    with pytest.raises(ChangeInvalidError, match='name'):
        await hosts.leader.group.submit(command('bad', 0, 'no name!'))
    assert hosts.leader.storage.last_index == before


async def test_resent_change_gets_its_first_outcome_after_crashes(hosts):
    await hosts.wait_until_settled()
    for number in range(30):
        await accept(hosts, str(number))
    with pytest.raises(ChangeConflictError):
        await hosts.leader.group.submit(command('late', 3))
    assert hosts.leader.storage.base_index
    for host in hosts.all:
        host.crash()
    hosts.start()
    leader = await hosts.wait_for_leader()
    assert await leader.group.submit(command('7', 7)) == 8
    with pytest.raises(ChangeConflictError):
        await leader.group.submit(command('late', 3))
    assert (await leader.group.read()).revision == 30


async def test_leader_crashes_lose_no_change(hosts):
    await hosts.wait_until_settled()
    for number in range(5):
        assert await accept(hosts, str(number)) == number + 1
        (await hosts.wait_for_leader()).crash()
        for host in hosts.all:
            if not host.running:
                host.start()
    leader = await hosts.wait_for_leader()
    assert (await leader.group.read()).revision == 5


async def test_no_group_forms_while_a_host_is_down(tmp_path):
    hosts = Hosts(tmp_path)
    for host in hosts.all[:2]:
        host.start()
    await asyncio.sleep(TIMING.election_timeout_s * 4)
    assert not any(host.group.state.group for host in hosts.running)
    hosts.all[2].start()
    await hosts.wait_until_settled()
    hosts.stop()


async def test_isolated_leader_steps_down_and_its_stamp_ages(hosts):
    await hosts.wait_until_settled()
    old_leader = hosts.leader
    hosts.network.isolate(old_leader.name, old_leader.others)
    await until(lambda: hosts.leader not in {None, old_leader})
    await hosts.leader.group.submit(command('new', 0))
    await until(lambda: not old_leader.group.leading)
    age_ms = old_leader.group.stamp.age_ms
    await asyncio.sleep(TIMING.election_timeout_s)
    assert (
        old_leader.group.stamp.age_ms >= age_ms
        or not old_leader.group.stamp.round
    )
    assert old_leader.group.state.revision == 0
    hosts.network.cuts.clear()
    await until(lambda: old_leader.group.state.revision == 1)


async def test_change_sent_to_an_isolated_leader_reaches_the_next_one(hosts):
    await hosts.wait_until_settled()
    isolated_leader = hosts.leader
    follower = next(host for host in hosts.all if host is not isolated_leader)
    hosts.network.isolate(isolated_leader.name, isolated_leader.others)
    assert follower.group.leader == isolated_leader.name
    assert await follower.group.submit(command('new', 0)) == 1


async def test_isolated_leader_does_not_answer_reads(hosts):
    await hosts.wait_until_settled()
    old_leader = hosts.leader
    hosts.network.isolate(old_leader.name, old_leader.others)
    read_task = asyncio.create_task(old_leader.group.read())
    await until(lambda: hosts.leader not in {None, old_leader})
    await hosts.leader.group.submit(command('new', 0))
    assert not read_task.done()
    hosts.network.cuts.clear()
    assert (await read_task).revision == 1


async def test_follower_with_a_leader_grants_no_pre_vote(hosts):
    await hosts.wait_until_settled()
    host, other = (host for host in hosts.all if host is not hosts.leader)
    request = RequestVote(
        host.group.state.group,
        host.group.term + 1,
        other.name,
        other.storage.identity.disk,
        LogPosition(99, 99),
        LogPosition(),
        trial=True,
    )
    assert not (await host.group.handle(request)).granted


async def test_stamp_age_counts_from_the_request(hosts):
    await hosts.wait_until_settled()
    host = next(host for host in hosts.all if host is not hosts.leader)
    delay_s = 0.1

    class SlowPeers:
        async def ask(self, *_: object) -> StampReply:
            await asyncio.sleep(delay_s)
            return StampReply(Stamp(host.group.term, 0, 1_000_000, 0))

    replica = Replica('observer', host.storage, 1000)
    replica.leader = hosts.leader.name
    relay = StampRelay(replica, SlowPeers(), TIMING)
    relay_task = asyncio.create_task(relay.run())
    await until(lambda: relay.stamp.round)
    relay_task.cancel()
    assert relay.stamp.age_ms >= delay_s * 1000


async def test_reconnected_host_does_not_depose_the_leader(hosts):
    await hosts.wait_until_settled()
    lagging = next(host for host in hosts.all if host is not hosts.leader)
    hosts.network.isolate(lagging.name, lagging.others)
    term = hosts.leader.group.term
    await asyncio.sleep(TIMING.election_timeout_s * 6)
    hosts.network.cuts.clear()
    await accept(hosts, 'seen')
    await until(lambda: lagging.group.state.revision == 1)
    assert hosts.leader.group.term == term


@pytest.mark.parametrize('unreachable', [True, False])
async def test_leader_with_one_way_links_is_replaced(hosts, unreachable):
    await hosts.wait_until_settled()
    old_leader = hosts.leader
    hosts.network.cuts |= {
        (other, old_leader.name) if unreachable else (old_leader.name, other)
        for other in old_leader.others
    }
    await until(lambda: hosts.leader not in {None, old_leader})
    await hosts.leader.group.submit(command('new', 0))


async def test_stamp_of_an_unreachable_follower_ages(hosts):
    await hosts.wait_until_settled()
    unreachable = next(host for host in hosts.all if host is not hosts.leader)
    await until(lambda: unreachable.group.stamp.round)
    hosts.network.cuts |= {
        (other, unreachable.name) for other in unreachable.others
    }
    limit_ms = TIMING.election_timeout_s * 4000
    await until(lambda: unreachable.group.stamp.age_ms > limit_ms)


async def test_request_of_another_group_is_rejected(hosts):
    await hosts.wait_until_settled()
    host = hosts.all[0]
    request = RequestVote(
        'other',
        1000,
        'control-1',
        'disk',
        LogPosition(99, 99),
        LogPosition(),
        trial=False,
    )
    reply = await hosts.network.deliver('control-1', host.name, request)
    assert isinstance(reply, Failure)
    assert reply.code == 'other_group'


async def test_host_far_behind_gets_a_snapshot(hosts):
    await hosts.wait_until_settled()
    lagging = next(host for host in hosts.all if host is not hosts.leader)
    lagging.crash()
    for number in range(60):
        await accept(hosts, str(number))
    assert hosts.leader.storage.base_index > 20
    lagging.start()
    await until(lambda: lagging.group.state.revision == 60)


@pytest.mark.parametrize('count', [1, 5, 7])
async def test_groups_of_other_sizes_accept_changes(tmp_path, count):
    hosts = Hosts(tmp_path, count)
    hosts.start()
    await hosts.wait_until_settled()
    for host in hosts.all[: (count - 1) // 2]:
        host.crash()
    assert await accept(hosts, 'one') == 1
    hosts.stop()


async def test_group_grows_by_newly_configured_hosts(tmp_path):
    small = Hosts(tmp_path, 3)
    small.start()
    await small.wait_until_settled()
    assert await accept(small, 'before') == 1
    small.stop()
    large = Hosts(tmp_path, 5)
    large.start()
    await large.wait_until_settled()
    for host in large.all[:2]:
        host.crash()
    assert await accept(large, 'after') == 2
    large.stop()
