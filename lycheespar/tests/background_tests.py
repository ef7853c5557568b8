"""Tests of background tasks."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from lycheespar.background import RESTART_PAUSE_S, start_background
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual


@pytest.fixture
def failed_tasks():
    """Collect the fields of each reported task failure."""
    fields = []
    handler = logger.add(
        lambda line: fields.append(line.record['extra'].get('fields')),
        level='INFO',
    )
    yield fields
    logger.remove(handler)


async def _wait_for_cancelled_future() -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def _raise_an_error() -> None:
    raise OSError('broken')


@pytest.mark.parametrize('fail', [_wait_for_cancelled_future, _raise_an_error])
def test_a_failed_task_is_reported_and_runs_again(fail, failed_tasks):
    runs = []

    async def body() -> None:
        runs.append(fail)
        if len(runs) < 3:
            await fail()

    async def scenario(loop: VirtualLoop) -> None:
        await start_background('pulls', body)

    run_virtual(scenario)
    assert len(runs) == 3
    assert [fields['event'] for fields in failed_tasks] == ['task_failed'] * 2


def test_a_task_that_fails_at_once_each_time_pauses_between_runs(failed_tasks):
    async def scenario(loop: VirtualLoop) -> None:
        task = start_background('pulls', _raise_an_error)
        await asyncio.sleep(10)
        task.cancel()

    run_virtual(scenario)
    assert len(failed_tasks) <= 10 / RESTART_PAUSE_S + 1


def test_a_task_that_its_owner_stops_is_not_reported(failed_tasks):
    async def scenario(loop: VirtualLoop) -> None:
        task = start_background('pulls', lambda: asyncio.sleep(10))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait((task,))

    run_virtual(scenario)
    assert not failed_tasks
