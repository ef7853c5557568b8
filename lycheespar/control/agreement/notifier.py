"""Notification of all tasks that wait for the next change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Notifier:
    """Event that wakes the current waiters and is cleared at once."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Create a notifier without waiting tasks."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true.

        It is checked at the start and after each notification.
        """
        while not condition():
            await self._event.wait()
