"""Fixtures of the tests of control hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from lycheespar.tests.control.agreement.groups import Hosts
from lycheespar.tests.virtual_loop import VirtualLoop

_LOOP_SEED = 1


def pytest_asyncio_loop_factories(
    item: pytest.Item,
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run tests that are marked with `virtual_clock` on a virtual clock.

    All hosts of such a test share one thread. On a real clock, a disk whose
    syncs take 30 ms would end every leadership before its first commit.
    """
    if item.get_closest_marker('virtual_clock') is None:
        return {'real': asyncio.new_event_loop}
    return {'virtual': lambda: VirtualLoop(_LOOP_SEED)}


@pytest.fixture
async def hosts(tmp_path: Path):
    """Run a group of three control hosts."""
    planned = Hosts(tmp_path)
    planned.start()
    yield planned
    planned.stop()
