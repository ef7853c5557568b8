"""Tests of hosts that join a group whose settings do not name them."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.control.agreement.voter_manager import FORGET_AFTER_S
from lycheespar.tests.control.agreement.groups import (
    REPLACING,
    TIMING,
    Hosts,
    accept,
    until,
)

pytestmark = pytest.mark.virtual_clock


@pytest.fixture
def hosts(tmp_path):
    """Prepare a group of three hosts that replaces silent voters."""
    planned = Hosts(tmp_path)
    for host in planned.all:
        host.timing = REPLACING
    yield planned
    planned.stop()


def voters(hosts: Hosts) -> set[str]:
    """Return the names of the voters that the leader knows."""
    leader = hosts.leader
    return set(leader.group.state.voters) if leader else set()


async def test_new_host_replaces_a_lost_one(hosts):
    hosts.start()
    await hosts.wait_until_settled()
    await accept(hosts, 'first')
    lost = hosts.all.pop(0)
    lost.crash()
    replacement = hosts.add('control-9', ['control-1', 'control-2'])
    expected = {'control-1', 'control-2', 'control-9'}
    await until(lambda: voters(hosts) == expected)
    await hosts.wait_until_settled()
    assert replacement.group.state.revision == 1


async def test_all_hosts_can_be_replaced_one_by_one(hosts):
    hosts.start()
    await hosts.wait_until_settled()
    for number in range(4):
        await accept(hosts, f'change-{number}')
        hosts.all.pop(0).crash()
        hosts.add(f'new-{number}', [host.name for host in hosts.all])
        names = {host.name for host in hosts.all}
        await until(lambda names=names: voters(hosts) == names)
        await hosts.wait_until_settled()
    assert hosts.all[0].group.state.revision == 4


async def test_host_can_join_before_another_one_is_lost(hosts):
    hosts.start()
    await hosts.wait_until_settled()
    hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    hosts.all.pop(0).crash()
    names = {'control-1', 'control-2', 'control-9'}
    await until(lambda: voters(hosts) == names)
    await accept(hosts, 'after')


async def test_silent_voter_is_kept_at_the_minimum_of_voters(hosts):
    hosts.start()
    await hosts.wait_until_settled()
    silent = hosts.all[0]
    silent.crash()
    await accept(hosts, 'meanwhile')
    await asyncio.sleep(2 * REPLACING.replace_after_s)
    assert len(voters(hosts)) == 3
    silent.start()
    await hosts.wait_until_settled()


async def test_hosts_without_founding_never_form_a_group(hosts):
    for host in hosts.all:
        host.founding = False
    hosts.start()
    await asyncio.sleep(4 * TIMING.election_timeout_s)
    assert not any(host.group.state.group for host in hosts.all)


async def test_replaced_host_rejoins_its_group(hosts):
    hosts.start()
    await hosts.wait_until_settled()
    lost = hosts.all.pop(0)
    lost.crash()
    hosts.add('control-9', ['control-1'])
    await until(lambda: 'control-9' in voters(hosts))
    await until(lambda: lost.name not in voters(hosts))
    await accept(hosts, 'without-it')
    lost.start()
    hosts.all.append(lost)
    await until(lambda: len(voters(hosts)) == 4)
    await hosts.wait_until_settled()
    groups = {host.group.state.group for host in hosts.all}
    assert len(groups) == 1
    assert lost.group.state.revision == 1


async def test_host_can_join_a_group_with_a_leader_of_long_standing(hosts):
    """A leader must not forget a new host before it has sent it anything."""
    hosts.start()
    await hosts.wait_until_settled()
    leader = hosts.leader
    await asyncio.sleep(FORGET_AFTER_S + 1)
    lost = next(host for host in hosts.all if host is not leader)
    hosts.all.remove(lost)
    lost.crash()
    successor = hosts.add('control-9', [host.name for host in hosts.all])
    await until(lambda: successor.is_voter)
    assert hosts.leader is leader
    await accept(hosts, 'after')


async def test_host_that_was_forgotten_can_join_again(hosts):
    """A leader must not measure a host's silence from an earlier contact."""
    hosts.start()
    await hosts.wait_until_settled()
    returning = hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    returning.crash()
    await until(lambda: returning.name not in voters(hosts))
    await asyncio.sleep(FORGET_AFTER_S + 1)
    leader = hosts.leader
    returning.start()
    await until(lambda: returning.is_voter)
    assert hosts.leader is leader


@pytest.mark.parametrize('led', [True, False])
async def test_a_disk_can_be_lost_right_after_a_planned_replacement(hosts, led):
    """The vote of a host that has left must not count towards a quorum."""
    hosts.start()
    await hosts.wait_until_settled()
    hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    await hosts.wait_until_settled()
    leaving = next(
        host for host in hosts.all[:3] if (host is hosts.leader) is led
    )
    await leaving.stop()
    hosts.all.remove(leaving)
    lost = next(host for host in hosts.all if host is not hosts.leader)
    lost.lose_disk()
    await hosts.wait_until_settled()
    assert voters(hosts) == {host.name for host in hosts.all}
    await accept(hosts, 'after')


async def test_a_host_that_leaves_is_not_admitted_again_before_it_ends(hosts):
    """A leaving host still replies; its vote must not be given back to it."""
    hosts.start()
    await hosts.wait_until_settled()
    hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    leaving = next(host for host in hosts.all if host is not hosts.leader)
    await leaving.group.leave()
    await asyncio.sleep(4 * TIMING.election_timeout_s)
    assert leaving.name not in voters(hosts)
    assert len(voters(hosts)) == 3


async def test_a_host_that_left_rejoins_after_its_restart(hosts):
    """A planned restart must not cost the group a voter."""
    hosts.start()
    await hosts.wait_until_settled()
    hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    for host in tuple(hosts.all):
        await host.stop()
        host.start()
        await until(lambda: len(voters(hosts)) == 4)
        await hosts.wait_until_settled()
    await accept(hosts, 'after')


async def test_a_planned_stop_does_not_go_below_the_minimum_of_voters(hosts):
    """A rolling restart of three hosts must not shrink their group."""
    hosts.start()
    await hosts.wait_until_settled()
    stopped = hosts.all[0]
    await stopped.stop()
    await accept(hosts, 'meanwhile')
    assert len(voters(hosts)) == 3
    stopped.start()
    await hosts.wait_until_settled()


@pytest.mark.parametrize('led', [True, False])
async def test_a_disk_can_be_lost_right_after_a_replaced_host_is_killed(
    hosts, led
):
    """An additional voter must make up for one that ends without notice."""
    hosts.start()
    await hosts.wait_until_settled()
    hosts.add('control-9', ['control-0'])
    await until(lambda: len(voters(hosts)) == 4)
    await hosts.wait_until_settled()
    killed = next(
        host for host in hosts.all[:3] if (host is hosts.leader) is led
    )
    killed.crash()
    hosts.all.remove(killed)
    lost = next(host for host in hosts.all[:2] if host is not hosts.leader)
    lost.lose_disk()
    names = {host.name for host in hosts.all}
    await until(lambda: voters(hosts) == names)
    await hosts.wait_until_settled()
    await accept(hosts, 'after')
