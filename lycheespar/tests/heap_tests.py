"""Garbage collector settings after the start-up."""

from __future__ import annotations

import gc

from lycheespar.heap import GC_THRESHOLDS, tune_garbage_collector


def test_objects_of_the_start_up_are_excluded_from_collection():
    thresholds = gc.get_threshold()
    try:
        tune_garbage_collector()
        assert gc.get_freeze_count() > 10_000
        assert len(gc.get_objects()) < gc.get_freeze_count() / 10
        assert gc.get_threshold() == GC_THRESHOLDS
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
