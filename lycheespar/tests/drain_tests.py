"""Planned stop of a node, step by step."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.drain import GracefulStop


class _Parts:
    """All parts that a stop uses; a step with the name of `broken` fails."""

    idle = True
    listening = False

    def __init__(self, broken: str) -> None:
        self.broken = broken
        self.done: list[str] = []

    def mark_draining(self) -> None:
        self.done.append('mark_draining')

    def drain(self, limit_s: float) -> None:
        self.done.append('drain')

    async def close_port(self) -> None:
        self._step('close_port')

    async def wait_until_idle(self, linger_s: float) -> None:
        await asyncio.sleep(0.01)
        self._step('wait_until_idle')

    async def stop(self, until: float = 0) -> None:
        self._step('stop')

    def _step(self, name: str) -> None:
        if name == self.broken:
            raise PermissionError(1, 'Operation not permitted')
        self.done.append(name)


@pytest.mark.parametrize('broken', ['close_port', 'wait_until_idle'])
async def test_an_error_in_a_step_of_a_stop_ends_no_request(broken):
    """It ended the process, with all requests in progress."""
    parts = _Parts(broken)
    await GracefulStop(parts, parts, parts, parts, 5, 0).run()
    steps = ['mark_draining', 'drain', 'close_port', 'wait_until_idle']
    expected = [step for step in steps if step != broken]
    assert parts.done == [*expected, 'stop', 'stop']
