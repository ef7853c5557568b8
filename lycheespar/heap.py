"""Garbage collection of a process that serves requests."""

from __future__ import annotations

import gc
from typing import Final

# Objects of each generation between two collections of it. Requests leave few
# cycles behind, so that most collections find nothing.
THRESHOLDS: Final = (20_000, 20, 50)


def settle_heap() -> None:
    """Exempt what the start has built from collection, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
