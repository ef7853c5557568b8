"""Garbage collector settings of a process that serves requests."""

from __future__ import annotations

import gc
from typing import Final

# Thresholds of the three generations, far above the defaults. Requests create
# few reference cycles, so that most collections would free nothing.
GC_THRESHOLDS: Final = (20_000, 20, 50)


def tune_garbage_collector() -> None:
    """Exclude all present objects from collection and collect less often.

    To be called at the end of the start-up.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
