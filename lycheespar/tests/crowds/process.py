"""Memory and open descriptors of another process."""

from __future__ import annotations

from pathlib import Path
from typing import Final

_BYTES_PER_KB: Final = 1024


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size that a process has had, in bytes."""
    status = Path(f'/proc/{pid}/status').read_text('ascii')
    line = next(
        line for line in status.splitlines() if line.startswith('VmHWM:')
    )
    return int(line.split()[1]) * _BYTES_PER_KB


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))
