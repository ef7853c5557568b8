"""Runs a crowd against a process and checks what the process bears."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from lycheespar.tests.crowds.crowd import Crowd, Script
from lycheespar.tests.crowds.process import open_descriptors, peak_memory_bytes
from standins.cluster import wait_until
from standins.platform import Machine
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


async def besiege(
    machine: Machine, address: tuple[str, int], script: Script, *asks: Ask
) -> None:
    """Check that a process bears a crowd and serves others meanwhile.

    Parameters
    ----------
    machine : Machine
        Machine of the process.
    address : tuple[str, int]
        Address to which the crowd connects.
    script : Script
        What the crowd does.
    *asks : Ask
        Each sends an ordinary request and waits for its answer.
    """
    before = open_descriptors(machine.pid)
    async with asyncio.timeout(TIMEOUT_S):
        async with Crowd(address, script) as crowd:
            await crowd.press()
            await check(machine, asks)
        await check(machine, asks)
        await wait_until(
            lambda: open_descriptors(machine.pid) <= before + SPARE_DESCRIPTORS,
            TIMEOUT_S,
        )


async def check(machine: Machine, asks: tuple[Ask, ...]) -> None:
    """Check that a process lives, stays within its bounds, and answers."""
    assert machine.exit_code is None
    for ask in asks:
        await ask()
    assert machine.exit_code is None
    memory_bytes = peak_memory_bytes(machine.pid)
    assert memory_bytes < memory_bound(machine)
    descriptors = open_descriptors(machine.pid)
    assert descriptors < MAX_OPEN_FILES


def memory_bound(machine: Machine) -> int:
    """Return how many bytes of memory a process may use."""
    if machine.role == 'control':
        return CONTROL_MEMORY_BYTES
    return NODE_MEMORY_BYTES
