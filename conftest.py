"""Pytest configuration: known failures, errors that nothing handled.

Tests listed in KNOWN-RED.txt are marked as expected failures and printed after
the results. Hypothesis runs with fixed seeds and without a deadline, because on
a busy machine an example of 12 ms once took 263 ms.

An error that leaves a callback or a task fails the test in which it is seen, or
the next one if it is seen later. A test that causes one takes it from the
fixture `unhandled_errors`.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

settings.register_profile('project', deadline=None, derandomize=True)
settings.load_profile('project')

_KNOWN_RED_FILE = Path(__file__).parent / 'KNOWN-RED.txt'


_unhandled: list[str] = []


def _record_unhandled(
    _: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get('exception')
    _unhandled.append(f'{context.get("message")}: {error!r}')


@pytest.fixture(autouse=True)
def unhandled_errors(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """Fail the test if an error leaves a callback or a task."""
    monkeypatch.setattr(
        asyncio.BaseEventLoop, 'default_exception_handler', _record_unhandled
    )
    yield _unhandled
    seen = tuple(_unhandled)
    _unhandled.clear()
    assert not seen


@pytest.hookimpl(trylast=True)
def pytest_sessionfinish(session: pytest.Session) -> None:
    """Fail the session if an error was seen after the last test."""
    gc.collect()
    if _unhandled:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED
        raise AssertionError(_unhandled)


def _known_failures() -> list[str]:
    lines = _KNOWN_RED_FILE.read_text('utf-8').splitlines()
    return [
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known failures; an unexpected pass is reported as XPASS."""
    known = _known_failures()
    for test in items:
        if test.nodeid in known:
            test.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the known failures after the results."""
    for nodeid in _known_failures():
        terminalreporter.write_line(f'known red: {nodeid}')
