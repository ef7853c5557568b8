"""Garbage collection after the start."""

from __future__ import annotations

import gc

from lycheespar.heap import THRESHOLDS, settle_heap


def test_what_the_start_has_built_is_never_collected_again():
    thresholds = gc.get_threshold()
    try:
        settle_heap()
        assert gc.get_freeze_count() > 10_000
        assert len(gc.get_objects()) < gc.get_freeze_count() / 10
        assert gc.get_threshold() == THRESHOLDS
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
