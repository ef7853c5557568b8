"""Durable storage: torn writes, flipped bits, full disks, snapshots."""

from __future__ import annotations

import bisect
import errno
import os
import tempfile
from functools import cache
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheespar.configuration.changes import Command
from lycheespar.configuration.routes import (
    Destination,
    HostRoute,
    PatchRoutePlan,
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.state.entries import LogEntry, Proposal
from lycheespar.control.storage import files
from lycheespar.control.storage.records import read_records
from lycheespar.control.storage.storage import Storage
from lycheespar.errors import (
    StorageDamagedError,
    StorageError,
    StorageFullError,
    StorageLockedError,
)
from lycheespar.tests.control.agreement.groups import log_entry, state_at


def _fill(folder: Path, count: int) -> None:
    storage = Storage(folder)
    storage.save_vote(1, 'control-0')
    for index in range(1, count + 1):
        storage.append([log_entry(index)])
    storage.close()


def _indexes(folder: Path) -> list[int]:
    storage = Storage(folder)
    storage.close()
    return [entry.index for entry in storage.entries(storage.base_index + 1)]


@cache
def _stored_files(count: int) -> dict[str, bytes]:
    """Return the files of six entries, of which a snapshot covers `count`."""
    with tempfile.TemporaryDirectory() as root:
        folder = Path(root)
        _fill(folder, 6)
        storage = Storage(folder)
        storage.compact(state_at(count))
        storage.close()
        names = ('identity', 'snapshot', 'log')
        return {name: (folder / name).read_bytes() for name in names}


def _write_files(folder: Path, stored: dict[str, bytes]) -> None:
    for name, content in stored.items():
        (folder / name).write_bytes(content)


@settings(max_examples=60, deadline=None)
@given(share=st.floats(0, 1, exclude_max=True))
def test_torn_write_loses_only_the_torn_record(share):
    complete = _stored_files(3)['log']
    starts = [0, *(end for end, _ in read_records(complete, 'log'))]
    size = int(share * len(complete))
    kept = bisect.bisect_right(starts, size) - 1
    with tempfile.TemporaryDirectory() as root:
        folder = Path(root)
        _write_files(folder, _stored_files(3) | {'log': complete[:size]})
        assert _indexes(folder) == [4, 5, 6][:kept]
        assert (folder / 'log').stat().st_size == starts[kept]


@settings(max_examples=150, deadline=None)
@given(
    name=st.sampled_from(['log', 'snapshot', 'identity']),
    share=st.floats(0, 1, exclude_max=True),
    bit=st.integers(0, 7),
)
def test_flipped_bit_is_detected(name, share, bit):
    stored = bytearray(_stored_files(3)[name])
    stored[int(share * len(stored))] ^= 1 << bit
    with tempfile.TemporaryDirectory() as root:
        folder = Path(root)
        _write_files(folder, _stored_files(3) | {name: bytes(stored)})
        with pytest.raises(StorageDamagedError):
            Storage(folder)


@settings(max_examples=40, deadline=None)
@given(
    steps=st.lists(
        st.one_of(
            st.tuples(st.just('append'), st.integers(1, 4)),
            st.tuples(st.just('compact'), st.integers(0, 100)),
            st.tuples(st.just('truncate'), st.integers(0, 100)),
            st.tuples(st.just('reopen'), st.just(0)),
        ),
        max_size=14,
    ),
)
def test_log_has_the_entries_that_were_written(steps):
    with tempfile.TemporaryDirectory() as name:
        storage = Storage(Path(name))
        base = last = 0
        for step, number in steps:
            match step:
                case 'append':
                    added = range(last + 1, last + 1 + number)
                    storage.append([log_entry(index) for index in added])
                    last += number
                case 'compact' if last > base:
                    base += 1 + number % (last - base)
                    storage.compact(state_at(base))
                case 'truncate' if last > base:
                    first = base + 1 + number % (last - base)
                    storage.truncate(first)
                    last = first - 1
                case 'reopen':
                    storage.close()
                    storage = Storage(Path(name))
            indexes = [entry.index for entry in storage.entries(base + 1)]
            assert indexes == list(range(base + 1, last + 1))
            assert (storage.base_index, storage.last_index) == (base, last)
            assert storage.term_at(last) == (1 if last else 0)
        storage.close()


def test_crash_between_snapshot_and_log_rewrite_is_repaired(tmp_path):
    _fill(tmp_path, 6)
    before = (tmp_path / 'log').read_bytes()
    storage = Storage(tmp_path)
    storage.compact(state_at(4))
    storage.close()
    (tmp_path / 'log').write_bytes(before)
    assert _indexes(tmp_path) == [5, 6]


def test_append_on_a_full_disk_fails_and_keeps_synced_entries(
    tmp_path, monkeypatch
):
    _fill(tmp_path, 3)
    storage = Storage(tmp_path)
    writes = iter((5, 0))

    def write_partially(file: int, content: bytes) -> int:
        size = next(writes)
        if not size:
            raise OSError(errno.ENOSPC, 'full')
        return os.pwrite(file, content[:size], os.fstat(file).st_size)

    with monkeypatch.context() as patched:
        patched.setattr(files.os, 'write', write_partially)
        with pytest.raises(StorageFullError):
            storage.append([log_entry(4)])
    assert storage.last_index == 3
    storage.append([log_entry(4)])
    storage.close()
    assert _indexes(tmp_path) == [1, 2, 3, 4]


@pytest.mark.parametrize('number', [errno.EIO, errno.ENOSPC])
def test_log_is_written_anew_after_a_failed_sync(tmp_path, monkeypatch, number):
    """What a file holds after a failed sync is unknown: it must not be used."""
    storage = Storage(tmp_path)
    storage.append([log_entry(1)])
    log_path = tmp_path / 'log'
    former = log_path.stat()

    def fail(file: int) -> None:
        raise OSError(number, 'broken')

    with monkeypatch.context() as patched:
        patched.setattr(files.os, 'fsync', fail)
        for _ in range(2):
            with pytest.raises(StorageError):
                storage.append([log_entry(2)])
            assert not storage.accepts_changes
    assert storage.last_index == 1
    kept_open = log_path.open('rb')
    unknown_bytes = kept_open.seek(0, os.SEEK_END)
    storage.append([log_entry(2)])
    assert log_path.stat().st_ino != former.st_ino
    assert kept_open.seek(0, os.SEEK_END) == unknown_bytes
    kept_open.close()
    storage.close()
    assert _indexes(tmp_path) == [1, 2]


async def test_a_restart_does_not_apply_many_changes_to_a_large_state(tmp_path):
    """A leader that applies them for long loses its quorum meanwhile."""
    storage = Storage(tmp_path)
    replica = Replica('control-0', storage, 1000)
    routes = {
        f'r-{number}': HostRoute(
            f'r-{number}',
            'a.example',
            f'/{number}/',
            destinations=(Destination('lending'),),
            source='x' * 300,
        )
        for number in range(1500)
    }
    plan = RoutePlan(1, routes, {'lending': ServiceProfile('lending')})
    changes = [PutRoutePlan(plan, 0)]
    changes += [PatchRoutePlan(label + 1, label) for label in range(1, 300)]
    replica.append([log_entry(1)])
    replica.commit(1)
    for index, change in enumerate(changes, start=2):
        sent = Command(str(index), index - 2, 'operator', change)
        replica.append([LogEntry(index, 1, Proposal(sent))])
        replica.commit(index)
    assert replica.state.revision == 300
    state_bytes = len(msgspec.msgpack.encode(replica.state.configuration))
    replayed = storage.last_index - storage.base_index
    assert replayed * state_bytes < 80_000_000
    storage.close()


def test_log_is_not_written_after_it_was_closed(tmp_path):
    """Another process may use the folder then."""
    storage = Storage(tmp_path)
    storage.close()
    with pytest.raises(StorageError):
        storage.append([log_entry(1)])


def test_entries_are_not_appended_to_a_file_that_lost_its_name(
    tmp_path, monkeypatch
):
    """A rewrite may fail after its rename, when it syncs the folder."""
    _fill(tmp_path, 6)
    storage = Storage(tmp_path)

    def fail(folder: Path) -> None:
        raise OSError(errno.ENOSPC, 'full')

    with monkeypatch.context() as patched:
        patched.setattr(files, 'sync_folder', fail)
        with pytest.raises(StorageFullError):
            storage._journal.rewrite(storage.entries(1))
    storage.append([log_entry(7)])
    storage.close()
    assert _indexes(tmp_path) == [1, 2, 3, 4, 5, 6, 7]


def test_vote_is_saved_on_a_full_disk(tmp_path, monkeypatch):
    storage = Storage(tmp_path)
    storage.save_vote(3, 'control-1')

    def write(file: int, content: bytes) -> int:
        free_bytes = os.fstat(file).st_size - os.lseek(file, 0, os.SEEK_CUR)
        if len(content) > free_bytes:
            raise OSError(errno.ENOSPC, 'full')
        return os.pwrite(file, content, 0)

    with monkeypatch.context() as patched:
        patched.setattr(files.os, 'write', write)
        storage.save_vote(4, 'control-2')
        with pytest.raises(StorageFullError):
            storage.save_vote(5, 'control-3')
    assert storage.identity.vote == 'control-2'
    storage.close()
    assert Storage(tmp_path).identity.vote == 'control-2'


def test_first_start_can_be_interrupted_before_the_identity_is_saved(
    tmp_path, monkeypatch
):
    def fail(*_: object) -> None:
        raise StorageFullError('full')

    with monkeypatch.context() as patched, pytest.raises(StorageFullError):
        patched.setattr(Storage, 'save_identity', fail)
        Storage(tmp_path)
    storage = Storage(tmp_path)
    assert storage.identity.disk
    storage.close()


def test_locked_folder_is_rejected(tmp_path):
    storage = Storage(tmp_path)
    with pytest.raises(StorageLockedError):
        Storage(tmp_path)
    storage.close()
    Storage(tmp_path).close()


@pytest.mark.parametrize('name', ['identity', 'log'])
def test_missing_file_is_detected(tmp_path, name):
    _fill(tmp_path, 2)
    (tmp_path / name).unlink()
    with pytest.raises(StorageDamagedError):
        Storage(tmp_path)


@pytest.mark.parametrize(
    'changes',
    [500, pytest.param(5000, marks=pytest.mark.soak)],
)
async def test_restart_after_many_changes_restores_the_state(tmp_path, changes):
    storage = Storage(tmp_path)
    replica = Replica('control-0', storage, 200)
    for index in range(1, changes + 2):
        replica.append([log_entry(index)])
        replica.commit(index)
    storage.close()
    size = sum(path.stat().st_size for path in tmp_path.iterdir())
    storage = Storage(tmp_path)
    restarted = Replica('control-0', storage, 200)
    restarted.commit(storage.last_index)
    storage.close()
    assert restarted.state == replica.state
    assert restarted.state.revision == changes
    assert storage.last_index - storage.base_index < 200
    assert size < 2_000_000 + 400 * changes
