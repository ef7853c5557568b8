"""Fixtures of the tests against crowds."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.small_site import SmallSite

pytest.register_assert_rewrite('lycheespar.tests.crowds.siege')


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[SmallSite]:
    """Run a control host and a node with a target."""
    planned = SmallSite(tmp_path)
    try:
        await planned.start()
        yield planned
    finally:
        await planned.stop()
