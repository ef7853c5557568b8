"""Groups of control hosts with lost, replaced and full disks."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.control.peer_messages import Mark, RequestVote
from lycheespar.errors import (
    StorageFullError,
)
from lycheespar.tests.control.groups import (
    TIMING,
    accept,
    command,
    fill_disks,
    until,
)


async def test_two_empty_hosts_do_not_overrule_a_full_one(hosts):
    await hosts.whole()
    await accept(hosts, 'kept')
    await until(lambda: hosts.all[2].group.state.revision == 1)
    for host in hosts.all[:2]:
        host.lose_disk()
    await asyncio.sleep(TIMING.election_timeout_s * 4)
    assert hosts.leader is None
    states = [host.group.state for host in hosts.all]
    assert states[2].revision == 1
    assert {state.group for state in states} == {states[2].group, ''}


async def test_an_empty_disk_does_not_vote(hosts):
    await hosts.whole()
    await accept(hosts, 'kept')
    lost, candidate, other = hosts.all
    for host in (candidate, other):
        host.crash()
    lost.lose_disk()
    term = 1000
    request = RequestVote(
        '', term, candidate.name, 'disk', Mark(99, 99), Mark(), trial=False
    )
    reply = await lost.group.handle(request)
    assert not reply.granted


async def test_a_second_disk_may_be_lost_right_after_a_repair(hosts):
    await hosts.whole()
    for number in range(2 * len(hosts.all)):
        assert await accept(hosts, str(number)) == number + 1
        lost = hosts.all[number % len(hosts.all)]
        lost.lose_disk()
        await until(lambda: lost.admitted)  # noqa: B023
    leader = await hosts.ready()
    assert (await leader.group.read()).revision == 6


async def test_a_new_disk_votes_only_after_the_old_majority_agreed(hosts):
    await hosts.whole()
    leader = await hosts.ready()
    away, lost = (host for host in hosts.all if host is not leader)
    away.crash()
    lost.lose_disk()
    await until(lambda: lost.group.state.group)
    await asyncio.sleep(TIMING.election_timeout_s * 4)
    assert not lost.admitted
    away.start()
    await until(lambda: lost.admitted)


async def test_a_leader_with_a_full_disk_makes_room(hosts, monkeypatch):
    await hosts.whole()
    full = hosts.leader
    fill_disks(monkeypatch, {full.name})
    for revision in range(3):
        await full.group.submit(command(str(revision), revision))
    assert hosts.leader is not full
    monkeypatch.undo()
    await until(lambda: full.group.state.revision == 3)


async def test_a_follower_with_a_full_disk_catches_up_later(hosts, monkeypatch):
    await hosts.whole()
    full = next(host for host in hosts.all if host is not hosts.leader)
    fill_disks(monkeypatch, {full.name})
    await accept(hosts, 'one')
    assert full.storage.last_index < hosts.leader.storage.last_index
    monkeypatch.undo()
    await until(lambda: full.group.state.revision == 1)


async def test_full_disks_everywhere_refuse_with_a_code(hosts, monkeypatch):
    await hosts.whole()
    await accept(hosts, 'kept')
    fill_disks(monkeypatch, {host.name for host in hosts.all})
    leader = hosts.leader
    told = leader.group.stamp.round + 9
    await until(lambda: leader.group.stamp.round > told)
    with pytest.raises(StorageFullError):
        await hosts.leader.group.submit(command('one', 1))
    told = leader.group.stamp.round + 9
    await until(lambda: leader.group.stamp.round > told)
    monkeypatch.undo()
    await hosts.whole()
    assert {host.group.state.revision for host in hosts.all} == {1}
    await accept(hosts, 'after')


async def test_a_replaced_disk_that_returns_does_not_vote(hosts, tmp_path):
    await hosts.whole()
    await accept(hosts, 'first')
    first, second, replaced = hosts.all
    replaced.crash()
    old = replaced.folder.rename(tmp_path / 'old')
    replaced.start()
    await until(lambda: replaced.admitted)
    first.crash()
    await accept(hosts, 'kept-by-two')
    second.crash()
    replaced.crash()
    replaced.folder.rename(tmp_path / 'new')
    old.rename(replaced.folder)
    replaced.start()
    first.start()
    await asyncio.sleep(TIMING.election_timeout_s * 6)
    assert hosts.leader is None
    second.start()
    leader = await hosts.ready()
    assert (await leader.group.read()).revision == 2
    await until(lambda: replaced.admitted)
