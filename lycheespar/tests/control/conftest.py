"""Fixtures of the tests of control hosts."""

from __future__ import annotations

from pathlib import Path

import pytest

from lycheespar.tests.control.groups import Hosts


@pytest.fixture
async def hosts(tmp_path: Path):
    """Run a group of three control hosts."""
    group = Hosts(tmp_path)
    group.start()
    yield group
    group.stop()
