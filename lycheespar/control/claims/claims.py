"""Claims of idempotency keys that one control host has granted.

The first attempt that claims a key holds it until the claim expires or is
released. A claim is synced to disk before the reply is sent. An attempt may
start only if a majority of all control hosts has granted it the key, so at most
one attempt per key starts. A host that has lost claims could grant a key twice:
it abstains until every claim that it may have lost has expired.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import msgspec
from loguru import logger

from lycheespar.background import start_background
from lycheespar.configuration.changes import MAX_KEY_RETENTION_S
from lycheespar.control.claims.claims_file import ClaimsFile, FileHeader
from lycheespar.control.messages import Claim, ClaimReply, Failure, Release
from lycheespar.errors import ClaimsSuspendedError, StorageError

# Width in seconds of the buckets by which expired claims are removed.
EXPIRY_BUCKET_S: Final = 10
# The file is rewritten when it has more records than twice the live claims plus
# this number.
MAX_OBSOLETE_RECORDS: Final = 10_000

log = logger.bind(part='control')


class _GrantedClaim(msgspec.Struct, gc=False):
    """A granted claim and its expiry by the monotonic clock."""

    claim: Claim
    expires_at: float


class ClaimStore:
    """Grants, stores and releases claims of nodes.

    Parameters
    ----------
    path : Path
        File in which the claims are stored.
    founding : bool
        Whether the data folder is new: no claims were granted before.
    is_founder : Callable[[], bool]
        Returns whether this disk was empty when the group was formed.

    Raises
    ------
    StorageError
        The file can't be used.
    """

    __slots__ = (
        '_abstain_until',
        '_claims',
        '_expiry_buckets',
        '_file',
        '_is_founder',
        '_newest_sync',
        '_next_batch',
        '_writer',
        '_written_batch',
    )

    def __init__(
        self,
        path: Path,
        *,
        founding: bool,
        is_founder: Callable[[], bool],
    ) -> None:
        """Load the claims from the file; their retention starts anew."""
        self._file = ClaimsFile(path, FileHeader(founding=founding))
        self._is_founder = is_founder
        self._claims: dict[bytes, _GrantedClaim] = {}
        self._next_batch: _Batch | None = None
        self._written_batch: _Batch | None = None
        self._writer: asyncio.Task[None] | None = None
        self._newest_sync: asyncio.Future[None] | None = None
        self._expiry_buckets: dict[int, list[bytes]] = {}
        now = time.monotonic()
        self._abstain_until = now + MAX_KEY_RETENTION_S
        for message in self._file.read():
            self._apply(message, now)

    def __len__(self) -> int:
        """Return the number of granted claims."""
        return len(self._claims)

    @property
    def abstains(self) -> bool:
        """Whether no claims are granted because earlier ones may be lost."""
        header = self._file.header
        if header.complete or (header.founding and self._is_founder()):
            return False
        if time.monotonic() < self._abstain_until:
            return True
        self._file.rewrite(FileHeader(complete=True), self._live_claims())
        log.info('Granting claims again: all lost claims have expired.')
        return False

    async def handle(self, message: Claim | Release) -> ClaimReply | Failure:
        """Answer a claim or release of a node.

        The reply to a `Claim` contains the claim that holds the key, the reply
        to a `Release` the released claim.
        """
        try:
            return await self._handle(message)
        except (StorageError, ClaimsSuspendedError) as error:
            return Failure(error.code, error.detail)

    def close(self) -> None:
        """Close the file; claims that are not synced yet fail."""
        if self._writer is not None:
            self._writer.cancel()
        for batch in (self._written_batch, self._next_batch):
            if batch is not None:
                batch.fail(StorageError('the claims are closed'))
        self._file.close()

    async def _handle(self, message: Claim | Release) -> ClaimReply:
        now = time.monotonic()
        self._remove_expired(now)
        match message:
            case Claim(key):
                if self.abstains:
                    raise ClaimsSuspendedError
                granted = self._claims.get(key)
                if granted is None:
                    self._apply(message, now)
                    self._enqueue(message)
                claim = message if granted is None else granted.claim
            case Release(key, attempt):
                granted = self._claims.get(key)
                if granted is None or granted.claim.attempt != attempt:
                    return ClaimReply(Claim(key, attempt))
                self._apply(message, now)
                self._enqueue(message)
                claim = granted.claim
        if self._needs_rewrite:
            self._enqueue(claim)
        if self._newest_sync is not None:
            await asyncio.shield(self._newest_sync)
        return ClaimReply(claim)

    def _apply(self, message: Claim | Release, now: float) -> None:
        match message:
            case Claim(key, retention_s=retention_s):
                expires_at = now + min(retention_s, MAX_KEY_RETENTION_S)
                self._claims.setdefault(key, _GrantedClaim(message, expires_at))
                bucket = int(expires_at / EXPIRY_BUCKET_S) + 1
                self._expiry_buckets.setdefault(bucket, []).append(key)
            case Release(key, attempt):
                granted = self._claims.get(key)
                if granted is not None and granted.claim.attempt == attempt:
                    self._claims.pop(key)

    def _enqueue(self, message: Claim | Release) -> None:
        """Queue a message; `_newest_sync` completes when it is synced."""
        if self._next_batch is None:
            self._next_batch = _Batch()
            self._newest_sync = self._next_batch.synced
        self._next_batch.messages.append(message)
        if self._writer is None:
            self._writer = start_background('claims', self._write_batches)

    async def _write_batches(self) -> None:
        """Write and sync batch after batch until none is queued."""
        while self._next_batch is not None:
            batch, self._next_batch = self._next_batch, None
            self._written_batch = batch
            try:
                await self._write(batch)
            except StorageError as error:
                batch.fail(error)
            else:
                batch.synced.set_result(None)
            self._written_batch = None
            await self._compact()
        self._writer = None

    async def _write(self, batch: _Batch) -> None:
        """Write a batch; with all claims if an error made the file unusable."""
        if self._file.is_usable:
            await asyncio.to_thread(self._file.append, batch.messages)
            return
        live = self._live_claims()
        await asyncio.to_thread(self._file.rewrite, self._file.header, live)
        log.info('Wrote the claims file anew after an error.')

    @property
    def _needs_rewrite(self) -> bool:
        """Whether the newest write failed and no other one is queued."""
        return self._next_batch is None and not self._file.is_usable

    def _remove_expired(self, now: float) -> None:
        """Remove expired claims."""
        expired = [
            bucket
            for bucket in self._expiry_buckets
            if bucket * EXPIRY_BUCKET_S <= now
        ]
        for key in itertools.chain(
            *(self._expiry_buckets.pop(bucket) for bucket in expired)
        ):
            granted = self._claims.get(key)
            if granted is not None and granted.expires_at <= now:
                self._claims.pop(key)

    async def _compact(self) -> None:
        """Rewrite the file when most of its records are obsolete."""
        if self._file.records <= 2 * len(self._claims) + MAX_OBSOLETE_RECORDS:
            return
        live = self._live_claims()
        try:
            await asyncio.to_thread(self._file.rewrite, self._file.header, live)
        except StorageError as error:
            log.error("The claims file can't be compacted: {}.", error.detail)

    def _live_claims(self) -> list[Claim]:
        return [granted.claim for granted in self._claims.values()]


class _Batch:
    """Messages that are written and synced together."""

    __slots__ = ('messages', 'synced')

    def __init__(self) -> None:
        self.messages: list[Claim | Release] = []
        self.synced: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def fail(self, error: StorageError) -> None:
        """Fail all who wait for the batch, unless it has been synced."""
        if not self.synced.done():
            self.synced.set_exception(error)
            # Marks the error as retrieved, as perhaps nobody waits.
            self.synced.exception()
