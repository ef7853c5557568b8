"""Fixtures of the tests of control hosts."""

from __future__ import annotations

from pathlib import Path

import pytest

from lycheespar.tests.control.groups import Hosts


@pytest.fixture
async def hosts(tmp_path: Path):
    """Run a group of three control hosts."""
    planned = Hosts(tmp_path)
    planned.start()
    yield planned
    planned.stop()
