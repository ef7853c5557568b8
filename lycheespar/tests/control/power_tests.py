"""Power lost at any call of the operating system, with unsynced names."""

from __future__ import annotations

import contextlib
import tempfile
from pathlib import Path
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheespar.control.storage import Storage
from lycheespar.tests.control.groups import log_entry, state_at
from lycheespar.tests.control.power import Disk, PowerCutError

ENDLESS: Final = 10**9
STEPS = st.lists(
    st.sampled_from(('append', 'vote', 'truncate', 'compact', 'restart')),
    max_size=12,
)
CUTS = st.lists(
    st.tuples(st.integers(0, 60), st.booleans(), st.floats(0, 1)),
    min_size=1,
    max_size=4,
)


class _Host:
    """A storage and what it has acknowledged.

    Attributes
    ----------
    lowest, highest : int
        Least and greatest index that the last entry may have after a cut.
    terms : set[int]
        Terms that may be stored after a cut.
    disks : set[str]
        Ids of the disk that may be stored; empty before the first start.
    """

    def __init__(self, folder: Path) -> None:
        self.lowest = 0
        self.highest = 0
        self.terms = {0}
        self.disks: set[str] = set()
        self._folder = folder
        self._storage: Storage | None = None

    def start(self) -> None:
        """Start, and check that all is there that was acknowledged."""
        storage = Storage(self._folder)
        self._storage = storage
        identity = storage.identity
        assert self.lowest <= storage.last_index <= self.highest
        assert identity.term in self.terms
        assert not self.disks or identity.disk in self.disks
        self._settle()

    def stop(self) -> None:
        """Close what is open."""
        if self._storage is not None:
            storage, self._storage = self._storage, None
            storage.close()

    def take(self, step: str) -> None:
        """Take one step; what it may have done counts from its beginning."""
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
        self._settle()

    def _settle(self) -> None:
        assert self._storage is not None
        self.lowest = self.highest = self._storage.last_index
        self.terms = {self._storage.identity.term}
        self.disks = {self._storage.identity.disk}


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS, CUTS)
def test_what_was_acknowledged_outlasts_power_cuts_anywhere(steps, cuts):
    with (
        tempfile.TemporaryDirectory() as parent,
        pytest.MonkeyPatch.context() as patched,
    ):
        folder = Path(parent) / 'data'
        folder.mkdir()
        disk = Disk(folder, patched)
        host = _Host(folder)
        for calls, all_gone, share in cuts:
            disk.calls_left = calls
            with contextlib.suppress(PowerCutError):
                host.start()
                for step in steps:
                    host.take(step)
            disk.calls_left = 0
            # The process ended anywhere, its log may have been closed.
            with contextlib.suppress(OSError):
                host.stop()
            disk.lose(all_gone=all_gone, share=share)
        disk.calls_left = ENDLESS
        host.start()
        host.stop()
