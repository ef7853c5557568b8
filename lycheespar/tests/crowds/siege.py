"""Runs a crowd against a process and checks what the process bears."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from lycheespar.tests.crowds.crowd import Crowd, Script
from lycheespar.tests.crowds.process import open_descriptors, peak_memory_bytes
from standins.cluster import wait_until
from standins.small_host import MAX_OPEN_FILES

# Half the memory of the smallest machines: the other half is for the requests
# of ordinary callers.
NODE_MEMORY_BYTES: Final = 100_000_000
CONTROL_MEMORY_BYTES: Final = 148_000_000
# Descriptors that may be open beyond those before the crowd, for connections
# to other processes that were replaced or opened meanwhile.
SPARE_DESCRIPTORS: Final = 8
# Ends a test whose process hangs.
TIMEOUT_S: Final = 25

Ask = Callable[[], Awaitable[None]]


class Program(Protocol):
    """A program that runs as a process of its own."""

    @property
    def pid(self) -> int:
        """Process id."""

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while it runs."""

    @property
    def role(self) -> str:
        """Role: ``control`` or ``node``."""


async def besiege(
    program: Program, address: tuple[str, int], script: Script, *asks: Ask
) -> None:
    """Check that a process bears a crowd and serves others meanwhile.

    Parameters
    ----------
    program : Program
        The program whose process is checked.
    address : tuple[str, int]
        Address to which the crowd connects.
    script : Script
        What the crowd does.
    *asks : Ask
        Each sends an ordinary request and waits for its answer.
    """
    before = open_descriptors(program.pid)
    async with asyncio.timeout(TIMEOUT_S):
        async with Crowd(address, script) as crowd:
            await crowd.press()
            await check(program, asks)
        await check(program, asks)
        await wait_until(
            lambda: open_descriptors(program.pid) <= before + SPARE_DESCRIPTORS,
            TIMEOUT_S,
        )


async def check(program: Program, asks: tuple[Ask, ...]) -> None:
    """Check that a process lives, stays within its bounds, and answers."""
    assert program.exit_code is None
    for ask in asks:
        await ask()
    assert program.exit_code is None
    memory_bytes = peak_memory_bytes(program.pid)
    assert memory_bytes < memory_bound(program)
    descriptors = open_descriptors(program.pid)
    assert descriptors < MAX_OPEN_FILES


def memory_bound(program: Program) -> int:
    """Return how many bytes of memory a process may use."""
    if program.role == 'control':
        return CONTROL_MEMORY_BYTES
    return NODE_MEMORY_BYTES
