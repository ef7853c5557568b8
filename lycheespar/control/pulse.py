"""Wakes all tasks that wait for the next change of something."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Pulse:
    """Event that is clear again as soon as it was set."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked at notifications."""
        while not condition():
            await self._event.wait()
