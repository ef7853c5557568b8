"""Groups of control hosts with lost, replaced and full disks."""

from __future__ import annotations

import asyncio
import errno
import os
from contextlib import suppress
from pathlib import Path

import pytest

from lycheespar.configuration.changes import ANY_REVISION
from lycheespar.control.agreement.peer_messages import LogPosition, RequestVote
from lycheespar.control.agreement.peers import Timing
from lycheespar.control.storage.storage import Storage
from lycheespar.errors import ControlError, StorageFullError
from lycheespar.tests.control.agreement.groups import (
    TIMING,
    Hosts,
    accept,
    command,
    fill_disks,
    until,
)

pytestmark = pytest.mark.virtual_clock
# Election time-out, in seconds, of a group whose leader leads on for a while
# without a majority.
PATIENT_TIMING = Timing(TIMING.heartbeat_s, 10 * TIMING.election_timeout_s)


def _restart_with_patience(hosts: Hosts) -> None:
    """Restart all hosts with a longer election time-out."""
    for host in hosts.all:
        host.timing = PATIENT_TIMING
        host.crash()
        host.start()


async def test_two_hosts_with_lost_disks_do_not_form_a_new_group(hosts):
    """A new group would lose the changes that the third host still has."""
    await hosts.wait_until_settled()
    await accept(hosts, 'kept')
    await until(lambda: hosts.all[2].group.state.revision == 1)
    for host in hosts.all[:2]:
        host.lose_disk()
    await asyncio.sleep(TIMING.election_timeout_s * 4)
    assert hosts.leader is None
    states = [host.group.state for host in hosts.all]
    assert states[2].revision == 1
    assert {state.group for state in states} == {states[2].group, ''}


async def test_host_with_a_lost_disk_does_not_vote(hosts):
    """The host has lost its earlier vote and the committed entries."""
    await hosts.wait_until_settled()
    await accept(hosts, 'kept')
    lost, candidate, other = hosts.all
    for host in (candidate, other):
        host.crash()
    lost.lose_disk()
    term = 1000
    request = RequestVote(
        '',
        term,
        candidate.name,
        'disk',
        LogPosition(99, 99),
        LogPosition(),
        trial=False,
    )
    reply = await lost.group.handle(request)
    assert not reply.granted


async def test_disks_can_be_lost_and_replaced_in_sequence(hosts):
    await hosts.wait_until_settled()
    for number in range(2 * len(hosts.all)):
        assert await accept(hosts, str(number)) == number + 1
        lost = hosts.all[number % len(hosts.all)]
        lost.lose_disk()
        await until(lambda: lost.is_voter)  # noqa: B023
    leader = await hosts.wait_for_leader()
    assert (await leader.group.read()).revision == 6


async def test_new_disk_is_admitted_only_by_a_majority_of_the_old_voters(hosts):
    # The leader must not step down before the new disk has heard from it.
    _restart_with_patience(hosts)
    await hosts.wait_until_settled()
    leader = await hosts.wait_for_leader()
    crashed, lost = (host for host in hosts.all if host is not leader)
    crashed.crash()
    lost.lose_disk()
    await until(lambda: lost.group.state.group)
    await asyncio.sleep(PATIENT_TIMING.election_timeout_s * 4)
    assert not lost.is_voter
    crashed.start()
    await until(lambda: lost.is_voter)


async def test_leader_with_a_full_disk_steps_down(hosts, monkeypatch):
    await hosts.wait_until_settled()
    full = hosts.leader
    fill_disks(monkeypatch, {full.name})
    for revision in range(3):
        await full.group.submit(command(str(revision), revision))
    assert hosts.leader is not full
    monkeypatch.undo()
    await until(lambda: full.group.state.revision == 3)


async def test_follower_catches_up_after_its_disk_was_full(hosts, monkeypatch):
    await hosts.wait_until_settled()
    full = next(host for host in hosts.all if host is not hosts.leader)
    fill_disks(monkeypatch, {full.name})
    await accept(hosts, 'one')
    assert full.storage.last_index < hosts.leader.storage.last_index
    monkeypatch.undo()
    await until(lambda: full.group.state.revision == 1)


@pytest.mark.parametrize('failing_call', ['write', 'fsync', 'ftruncate'])
async def test_changes_are_accepted_after_disks_were_full_in_turn(
    hosts, monkeypatch, failing_call
):
    """Each host must be of use again once its disk has free space."""
    await hosts.wait_until_settled()
    full: set[str] = set()
    fill_disks(monkeypatch, full, failing_call)
    for number in range(2 * len(hosts.all)):
        filled = hosts.all[number % len(hosts.all)]
        full.add(filled.name)
        with suppress(ControlError):
            await filled.group.submit(command(f'full-{number}', ANY_REVISION))
        await asyncio.sleep(4 * TIMING.election_timeout_s)
        full.clear()
        await asyncio.sleep(2 * TIMING.election_timeout_s)
    await hosts.wait_until_settled()
    for host in hosts.all:
        base = (await host.group.read()).revision
        await host.group.submit(command(f'after-{host.name}', base))
    await hosts.wait_until_settled()
    assert len({host.storage.last_index for host in hosts.all}) == 1


async def test_a_leader_that_can_not_write_lets_another_one_lead(
    hosts, monkeypatch
):
    """It would refuse all changes for as long as it leads."""
    await hosts.wait_until_settled()
    broken = hosts.leader

    def sync(file: int) -> None:
        folder = Path(os.readlink(f'/proc/self/fd/{file}')).parent
        if folder.name == broken.name:
            raise OSError(errno.EIO, 'broken')
        original_sync(file)

    original_sync = os.fsync
    monkeypatch.setattr(os, 'fsync', sync)
    with suppress(ControlError):
        await broken.group.submit(command('first', ANY_REVISION))
    await until(lambda: hosts.leader not in {None, broken})
    await accept(hosts, 'second')


async def test_state_of_a_leader_survives_a_disk_that_fills_up_meanwhile(
    hosts, monkeypatch
):
    """A state that is stored but not taken over would corrupt later entries."""
    await hosts.wait_until_settled()
    lagging = next(host for host in hosts.all if host is not hosts.leader)
    lagging.crash()
    for number in range(60):
        await accept(hosts, str(number))

    def save(storage: Storage, identity: object) -> None:
        if storage.base_index and storage._folder.name == lagging.name:
            raise StorageFullError('full')
        original_save(storage, identity)

    original_save = Storage.save_identity
    lagging.start()
    with monkeypatch.context() as patched:
        patched.setattr(Storage, 'save_identity', save)
        await until(lambda: lagging.storage.base_index > 20)
        await accept(hosts, 'meanwhile')
        await until(lambda: lagging.group.state.revision == 61)
    await accept(hosts, 'after')
    await hosts.wait_until_settled()
    leader = hosts.leader.group.state
    assert lagging.group.state.configuration == leader.configuration


async def test_changes_are_rejected_while_all_disks_are_full(
    hosts, monkeypatch
):
    # Hosts whose disks are full can't store a vote, so no other leader follows.
    _restart_with_patience(hosts)
    await hosts.wait_until_settled()
    await accept(hosts, 'kept')
    fill_disks(monkeypatch, {host.name for host in hosts.all})
    leader = hosts.leader
    stamp_round = leader.group.stamp.round + 9
    await until(lambda: leader.group.stamp.round > stamp_round)
    with pytest.raises(StorageFullError):
        await hosts.leader.group.submit(command('one', 1))
    stamp_round = leader.group.stamp.round + 9
    await until(lambda: leader.group.stamp.round > stamp_round)
    monkeypatch.undo()
    await hosts.wait_until_settled()
    assert {host.group.state.revision for host in hosts.all} == {1}
    await accept(hosts, 'after')


async def test_disk_that_returns_after_its_replacement_does_not_vote(
    hosts, tmp_path
):
    """Its vote could help to elect a leader that lacks the last change."""
    await hosts.wait_until_settled()
    await accept(hosts, 'first')
    first, second, replaced = hosts.all
    replaced.crash()
    old = replaced.folder.rename(tmp_path / 'old')
    replaced.start()
    await until(lambda: replaced.is_voter)
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
    leader = await hosts.wait_for_leader()
    assert (await leader.group.read()).revision == 2
    await until(lambda: replaced.is_voter)
