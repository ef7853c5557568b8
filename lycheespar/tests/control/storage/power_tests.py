"""Durability of the storage if power is lost at any system call."""

from __future__ import annotations

import contextlib
import tempfile
from pathlib import Path
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheespar.control.storage.storage import Storage
from lycheespar.tests.control.agreement.groups import log_entry, state_at
from lycheespar.tests.control.storage.power import Disk, PowerLossError

UNLIMITED_CALLS: Final = 10**9
STEPS = st.lists(
    st.sampled_from(('append', 'vote', 'truncate', 'compact', 'restart')),
    max_size=12,
)
POWER_LOSSES = st.lists(
    st.tuples(st.integers(0, 60), st.booleans(), st.floats(0, 1)),
    min_size=1,
    max_size=4,
)


class _Host:
    """A storage and the operations that it has acknowledged.

    Attributes
    ----------
    lowest, highest : int
        Least and greatest index that the last entry may have after a loss.
    terms : set[int]
        Terms that may be stored after a loss.
    disks : set[str]
        Disk ids that may be stored; empty before the first start.
    """

    def __init__(self, folder: Path) -> None:
        self.lowest = 0
        self.highest = 0
        self.terms = {0}
        self.disks: set[str] = set()
        self._folder = folder
        self._storage: Storage | None = None

    def start(self) -> None:
        """Open the storage and check that it has all acknowledged data."""
        storage = Storage(self._folder)
        self._storage = storage
        identity = storage.identity
        assert self.lowest <= storage.last_index <= self.highest
        assert identity.term in self.terms
        assert not self.disks or identity.disk in self.disks
        self._record_acknowledged()

    def stop(self) -> None:
        """Close the storage if it is open."""
        if self._storage is not None:
            storage, self._storage = self._storage, None
            storage.close()

    def run_step(self, step: str) -> None:
        """Run one step, whose effects may be durable as soon as it starts."""
        storage = self._storage
        assert storage is not None
        last = storage.last_index
        match step:
            case 'append':
                self.highest = last + 2
                storage.append([log_entry(last + 1), log_entry(last + 2)])
            case 'vote':
                self.terms.add(storage.identity.term + 1)
                storage.save_vote(storage.identity.term + 1, 'control-0')
            case 'truncate' if last > storage.base_index:
                self.lowest = last - 1
                storage.truncate(last)
            case 'compact' if last > storage.base_index:
                storage.compact(state_at(last))
            case 'restart':
                self.stop()
                self.start()
        self._record_acknowledged()

    def _record_acknowledged(self) -> None:
        assert self._storage is not None
        self.lowest = self.highest = self._storage.last_index
        self.terms = {self._storage.identity.term}
        self.disks = {self._storage.identity.disk}


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS, POWER_LOSSES)
def test_acknowledged_data_survives_power_loss_at_any_system_call(
    steps, losses
):
    with (
        tempfile.TemporaryDirectory() as parent,
        pytest.MonkeyPatch.context() as patched,
    ):
        folder = Path(parent) / 'data'
        folder.mkdir()
        disk = Disk(folder, patched)
        host = _Host(folder)
        for calls, lose_unsynced, share in losses:
            disk.calls_left = calls
            with contextlib.suppress(PowerLossError):
                host.start()
                for step in steps:
                    host.run_step(step)
            disk.calls_left = 0
            # The process may have ended after it closed its log.
            with contextlib.suppress(OSError):
                host.stop()
            disk.lose_power(lose_unsynced=lose_unsynced, share=share)
        disk.calls_left = UNLIMITED_CALLS
        host.start()
        host.stop()
