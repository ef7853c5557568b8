"""Linearizability of concurrent changes and reads under faults."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lycheespar.tests.control.agreement.faults import Faults
from lycheespar.tests.control.agreement.groups import (
    REPLACING,
    Hosts,
    fill_disks,
)
from lycheespar.tests.control.agreement.histories import (
    Recorder,
    find_violations,
    settle,
)

pytestmark = pytest.mark.virtual_clock
OPERATORS = 4


async def _check_history(
    folder: Path,
    seed: int,
    count: int,
    seconds: float,
    *,
    replacing: bool = False,
    full: set[str] | None = None,
) -> None:
    hosts = Hosts(folder, count, seed, late_share=0.05)
    if replacing:
        for host in hosts.all:
            host.timing = REPLACING
    recorder = Recorder(hosts, seed)
    faults = Faults(hosts, seed, replacing=replacing, full=full)
    hosts.start()
    await hosts.wait_until_settled()
    tasks = [
        asyncio.create_task(work)
        for work in (
            *(recorder.operate() for _ in range(OPERATORS)),
            recorder.watch(),
            faults.inject(),
        )
    ]
    done, _ = await asyncio.wait(
        tasks, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
    )
    for task in tasks:
        task.cancel()
    for ended in done:
        ended.result()
    if full is not None:
        full.clear()
    try:
        final = await settle(hosts)
    finally:
        hosts.stop()
    assert final.revision > 0
    assert find_violations(recorder, final) == []


@pytest.mark.parametrize('seed', range(1, 5))
async def test_changes_are_linearizable_under_faults(tmp_path, seed):
    await _check_history(tmp_path, seed, 3, 4)


async def test_changes_are_linearizable_with_five_hosts(tmp_path):
    await _check_history(tmp_path, 11, 5, 4)


@pytest.mark.parametrize('seed', range(21, 24))
async def test_changes_are_linearizable_while_hosts_are_replaced(
    tmp_path, seed
):
    await _check_history(tmp_path, seed, 3, 6, replacing=True)


@pytest.mark.parametrize('seed', range(31, 34))
async def test_changes_are_linearizable_while_disks_fill_up(
    tmp_path, seed, monkeypatch
):
    full: set[str] = set()
    fill_disks(monkeypatch, full)
    await _check_history(tmp_path, seed, 3, 6, replacing=True, full=full)


@pytest.mark.soak
@pytest.mark.parametrize('seed', range(300, 320))
async def test_changes_stay_linearizable_for_longer_while_disks_fill_up(
    tmp_path, seed, monkeypatch
):
    full: set[str] = set()
    fill_disks(monkeypatch, full)
    await _check_history(
        tmp_path, seed, 3 + seed % 2, 20, replacing=True, full=full
    )


@pytest.mark.soak
@pytest.mark.parametrize('seed', range(200, 220))
async def test_changes_stay_linearizable_for_longer_while_hosts_are_replaced(
    tmp_path, seed
):
    await _check_history(tmp_path, seed, 3 + seed % 2, 20, replacing=True)


@pytest.mark.soak
@pytest.mark.parametrize('seed', range(100, 120))
async def test_changes_stay_linearizable_for_longer(tmp_path, seed):
    await _check_history(tmp_path, seed, 3 + 2 * (seed % 2), 20)
