"""Tests of granting, storing and expiring claims at one control host."""

from __future__ import annotations

import asyncio
import errno
import os
import threading

import pytest

from lycheespar.control.claims import claims, claims_file
from lycheespar.control.claims.claims import ClaimStore
from lycheespar.control.claims.claims_file import ClaimsFile
from lycheespar.control.messages import Claim, ClaimReply, Failure, Release
from lycheespar.control.storage import files

KEY = b'k' * 16


def _open_store(folder, *, founding=True, founder=True) -> ClaimStore:
    return ClaimStore(
        folder / 'claims',
        founding=founding,
        is_founder=lambda: founder,
    )


def _claim(attempt: bytes, key: bytes = KEY, retention_s: float = 60) -> Claim:
    return Claim(key, attempt, b'f', 'node', 1, retention_s)


async def _holder(store: ClaimStore, attempt: bytes) -> bytes | str:
    """Claim the key for an attempt; return its holder or an error code."""
    match await store.handle(_claim(attempt)):
        case ClaimReply(claim):
            return claim.attempt
        case Failure(code):
            return code


async def test_first_attempt_gets_the_key(tmp_path):
    store = _open_store(tmp_path)
    replies = await asyncio.gather(
        *(_holder(store, attempt) for attempt in (b'a', b'b', b'a')),
    )
    assert replies == [b'a', b'a', b'a']


async def test_claims_are_synced_before_the_reply(tmp_path, monkeypatch):
    synced = []
    real_fsync = os.fsync
    store = _open_store(tmp_path)
    monkeypatch.setattr(
        os, 'fsync', lambda file: synced.append(real_fsync(file))
    )
    await asyncio.gather(
        *(store.handle(_claim(b'a', bytes([key]) * 16)) for key in range(50)),
    )
    assert 1 <= len(synced) <= 3
    reopened = _open_store(tmp_path)
    assert len(reopened) == 50
    assert await _holder(reopened, b'b') == b'b'


async def test_only_the_holder_releases_a_key(tmp_path):
    store = _open_store(tmp_path)
    await _holder(store, b'a')
    await store.handle(Release(KEY, b'b'))
    assert await _holder(store, b'c') == b'a'
    await store.handle(Release(KEY, b'a'))
    assert await _holder(store, b'c') == b'c'
    assert await _holder(_open_store(tmp_path), b'd') == b'c'


async def test_claim_expires_after_its_retention(tmp_path, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr('time.monotonic', lambda: now[0])
    store = _open_store(tmp_path)
    await _holder(store, b'a')
    now[0] += 59
    assert await _holder(store, b'b') == b'a'
    now[0] += 1 + 2 * claims.EXPIRY_BUCKET_S
    assert await _holder(store, b'b') == b'b'


async def test_host_abstains_after_losing_its_disk(tmp_path, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr('time.monotonic', lambda: now[0])
    store = _open_store(tmp_path, founder=False)
    assert await _holder(store, b'a') == 'claims_abstain'
    now[0] += claims.MAX_KEY_RETENTION_S - 1
    assert await _holder(store, b'a') == 'claims_abstain'
    now[0] += 2
    assert await _holder(store, b'a') == b'a'
    store.close()
    assert await _holder(_open_store(tmp_path, founder=False), b'b') == b'a'


async def test_host_abstains_without_its_claims_file(tmp_path):
    assert (
        await _holder(_open_store(tmp_path, founding=False), b'a')
        == 'claims_abstain'
    )


@pytest.mark.parametrize('offset', [20, 60, 130])
async def test_host_abstains_after_a_flipped_bit(tmp_path, offset):
    store = _open_store(tmp_path)
    for number in range(4):
        await store.handle(_claim(b'a', bytes([number]) * 16))
    store.close()
    path = tmp_path / 'claims'
    stored = bytearray(path.read_bytes())
    stored[offset] ^= 4
    path.write_bytes(stored)
    assert await _holder(_open_store(tmp_path), b'b') == 'claims_abstain'


async def test_torn_last_record_is_truncated(tmp_path):
    store = _open_store(tmp_path)
    await _holder(store, b'a')
    store.close()
    path = tmp_path / 'claims'
    with path.open('ab') as file:
        file.write(b'\x00\x00')
    reopened = _open_store(tmp_path)
    assert await _holder(reopened, b'b') == b'a'
    await reopened.handle(_claim(b'a', b'other'))
    assert len(_open_store(tmp_path)) == 2


async def test_full_disk_grants_no_claim(tmp_path, monkeypatch):
    store = _open_store(tmp_path)

    def raise_disk_full(_file: int, _content: bytes) -> None:
        raise OSError(28, 'No space left on device')

    monkeypatch.setattr(claims_file, 'write_all', raise_disk_full)
    monkeypatch.setattr(files, 'write_all', raise_disk_full)
    assert await _holder(store, b'a') == 'storage_full'
    assert await _holder(store, b'a') == 'storage_full'


async def test_claims_are_granted_again_once_a_full_disk_has_space(
    tmp_path, monkeypatch
):
    """A host whose disk was full refused all claims until its restart."""
    store = _open_store(tmp_path)
    await _holder(store, b'before')

    def write_partially(file: int, content: bytes) -> None:
        os.write(file, content[: len(content) // 2])
        raise OSError(errno.ENOSPC, 'full')

    with monkeypatch.context() as patched:
        patched.setattr(claims_file, 'write_all', write_partially)
        patched.setattr(files, 'write_all', write_partially)
        failed = Claim(b'other', b'failed', retention_s=60)
        assert isinstance(await store.handle(failed), Failure)
        assert isinstance(await store.handle(failed), Failure)
    assert (await store.handle(failed)).claim == failed
    assert await _holder(store, b'after') == b'before'
    newest = Claim(b'newest', b'newest', retention_s=60)
    assert (await store.handle(newest)).claim == newest
    restarted = _open_store(tmp_path)
    for claim in (failed, newest):
        other = Claim(claim.key, b'later', retention_s=60)
        assert (await restarted.handle(other)).claim.attempt == claim.attempt


async def test_claims_file_is_compacted(tmp_path, monkeypatch):
    monkeypatch.setattr(claims, 'MAX_OBSOLETE_RECORDS', 10)
    store = _open_store(tmp_path)
    for number in range(100):
        attempt = bytes([number])
        await store.handle(_claim(attempt))
        await store.handle(Release(KEY, attempt))
    await _holder(store, b'last')
    while store._writer is not None:
        await asyncio.sleep(0)
    assert store._file.records <= 13
    assert await _holder(_open_store(tmp_path), b'b') == b'last'


@pytest.mark.parametrize('steps', [1, 2, 3])
async def test_claims_that_wait_for_a_sync_fail_when_the_store_closes(
    tmp_path, monkeypatch, steps
):
    """Those who waited did so for ever, before and while a batch is written."""
    written = threading.Event()
    append = ClaimsFile.append

    def append_late(self, messages):
        written.wait(1)
        append(self, messages)

    monkeypatch.setattr(ClaimsFile, 'append', append_late)
    store = _open_store(tmp_path)
    first = asyncio.create_task(store.handle(_claim(b'a')))
    for _ in range(steps):
        await asyncio.sleep(0)
    second = asyncio.create_task(store.handle(_claim(b'b', b'l' * 16)))
    await asyncio.sleep(0)
    store.close()
    replies = await asyncio.gather(first, second)
    written.set()
    assert all(isinstance(reply, Failure) for reply in replies)
