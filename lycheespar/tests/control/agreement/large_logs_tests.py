"""Groups of control hosts with logs that take long to send."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from lycheespar.tests.control.agreement.groups import (
    TIMING,
    Hosts,
    accept,
    large_command,
    until,
)

pytestmark = pytest.mark.virtual_clock

CHANGES: Final = 60
CHANGE_BYTES: Final = 10_000
LARGE_CHANGES: Final = 30
LARGE_CHANGE_BYTES: Final = 1_000_000
# The log takes four election time-outs on a link, a change a tenth of one.
BYTES_PER_S: Final = CHANGES * CHANGE_BYTES / (4 * TIMING.election_timeout_s)


@pytest.fixture
async def hosts(tmp_path):
    """Run a group of three control hosts with a large log."""
    planned = Hosts(tmp_path, snapshot_every=10 * CHANGES)
    planned.start()
    await planned.wait_until_settled()
    for number in range(CHANGES):
        leader = await planned.wait_for_leader()
        await leader.group.submit(large_command(number, CHANGE_BYTES))
    await planned.wait_until_settled()
    planned.network.bytes_per_s = BYTES_PER_S
    planned.network.sent_bytes.clear()
    yield planned
    planned.stop()


async def test_a_leader_lasts_after_all_hosts_restart_beside_a_large_log(
    hosts,
):
    """A log that takes longer than a reply must not end each leadership."""
    for host in hosts.all:
        host.crash()
    for host in hosts.all:
        host.start()
    leader = await hosts.wait_for_leader()
    term = leader.group.term
    assert (await leader.group.read()).revision == CHANGES
    await until(
        lambda: all(h.group.state.revision == CHANGES for h in hosts.all)
    )
    await asyncio.sleep(4 * TIMING.election_timeout_s)
    assert hosts.leader is leader
    assert leader.group.term == term


async def test_disks_can_be_lost_in_sequence_beside_a_large_log(hosts):
    """A lost disk must get the log however long that takes."""
    for lost in hosts.all[:2]:
        lost.lose_disk()
        await until(lambda: lost.is_voter)  # noqa: B023
    assert await accept(hosts, 'after') == CHANGES + 1


async def test_a_message_that_takes_long_is_not_sent_again_meanwhile(hosts):
    """Copies of a message that is under way must not pile up."""
    lost = next(host for host in hosts.all if host is not hosts.leader)
    lost.lose_disk()
    await until(lambda: lost.is_voter)
    leader = hosts.leader
    sent_bytes = hosts.network.sent_bytes[leader.name, lost.name]
    assert sent_bytes < 2 * CHANGES * CHANGE_BYTES


async def test_a_transfer_that_is_lost_is_sent_again(hosts):
    """A host must catch up after its link was cut in the middle of its log."""
    leader = hosts.leader
    lost = next(host for host in hosts.all if host is not leader)
    lost.lose_disk()
    await until(lambda: lost.group.state.group)
    for _ in range(3):
        hosts.network.isolate(lost.name, hosts.others(lost))
        await asyncio.sleep(3 * TIMING.election_timeout_s)
        hosts.network.cuts.clear()
        await asyncio.sleep(TIMING.election_timeout_s)
    await until(lambda: lost.is_voter)


async def test_a_log_of_large_changes_is_replaced_by_snapshots(tmp_path):
    """Some hundred large changes must not exceed a control host's memory."""
    planned = Hosts(tmp_path, snapshot_every=1000)
    planned.start()
    await planned.wait_until_settled()
    for number in range(LARGE_CHANGES):
        leader = await planned.wait_for_leader()
        await leader.group.submit(large_command(number, LARGE_CHANGE_BYTES))
    await planned.wait_until_settled()
    for host in planned.all:
        stored = sum(path.stat().st_size for path in host.folder.iterdir())
        assert stored < LARGE_CHANGES * LARGE_CHANGE_BYTES / 2
        host.crash()
    planned.start()
    leader = await planned.wait_for_leader()
    assert (await leader.group.read()).revision == LARGE_CHANGES
    planned.stop()
