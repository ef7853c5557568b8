"""Tests of background tasks."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from lycheespar.background import start_background
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


@pytest.mark.parametrize('body', [_wait_for_cancelled_future, _raise_an_error])
def test_a_task_does_not_end_without_an_event(body, failed_tasks):
    async def scenario(loop: VirtualLoop) -> None:
        start_background('pulls', body)
        await asyncio.sleep(0.01)

    run_virtual(scenario)
    assert any(
        fields and fields['event'] == 'task_failed' for fields in failed_tasks
    )


def test_a_task_that_its_owner_stops_is_not_reported(failed_tasks):
    async def scenario(loop: VirtualLoop) -> None:
        task = start_background('pulls', lambda: asyncio.sleep(10))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait((task,))

    run_virtual(scenario)
    assert not failed_tasks
