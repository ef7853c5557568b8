"""Claims of idempotency keys, as one control host holds them.

The first attempt that claims a key holds it until the claim expires or is
released. A claim is on disk before it is told. An attempt may start only with
the claims of a majority of all control hosts, so no two attempts with one key
start. A host that has lost its claims would break this: it abstains until
every claim that it may have forgotten has expired.
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

from lycheespar.configuration.changes import MAX_KEY_RETENTION_S
from lycheespar.control.claims_file import Birth, ClaimsFile
from lycheespar.control.messages import Claim, ClaimReply, Failure, Release
from lycheespar.errors import ClaimsAbstainError, StorageError

# Time in seconds within which claims expire together.
SLOT_S: Final = 10
# Records in the file beyond twice the live ones at which it is rewritten.
SPARE_RECORDS: Final = 10_000

log = logger.bind(part='control')


class _Held(msgspec.Struct, gc=False):
    """A claim that holds until an instant of the monotonic clock."""

    claim: Claim
    expires_at: float


class ClaimHost:
    """Holds claims and answers the nodes that ask for them.

    Parameters
    ----------
    path : Path
        File of the claims.
    founding : bool
        Whether the data folder is new, so that no claim can be lost.
    founder : Callable[[], bool]
        Whether this disk was empty when the group was formed.

    Raises
    ------
    StorageError
        The file can't be used.
    """

    __slots__ = (
        '_abstain_until',
        '_batch',
        '_file',
        '_founder',
        '_held',
        '_slots',
        '_synced',
        '_writer',
    )

    def __init__(
        self,
        path: Path,
        *,
        founding: bool,
        founder: Callable[[], bool],
    ) -> None:
        """Read the claims; each holds for its whole time again."""
        self._file = ClaimsFile(path, Birth(founding=founding))
        self._founder = founder
        self._held: dict[bytes, _Held] = {}
        self._batch: _Batch | None = None
        self._writer: asyncio.Task[None] | None = None
        self._synced: asyncio.Future[None] | None = None
        self._slots: dict[int, list[bytes]] = {}
        now = time.monotonic()
        self._abstain_until = now + MAX_KEY_RETENTION_S
        for message in self._file.read():
            self._apply(message, now)

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._held)

    @property
    def abstains(self) -> bool:
        """Whether claims may have been lost, so that none are given."""
        birth = self._file.birth
        if birth.complete or (birth.founding and self._founder()):
            return False
        if time.monotonic() < self._abstain_until:
            return True
        self._file.rewrite(Birth(complete=True), self._live())
        log.info('Claims are given again.')
        return False

    async def handle(self, message: Claim | Release) -> ClaimReply | Failure:
        """Answer a node.

        The reply to a `Claim` shows the claim that holds; the reply to a
        `Release` shows the released one.
        """
        try:
            return await self._handle(message)
        except (StorageError, ClaimsAbstainError) as error:
            return Failure(error.code, error.detail)

    def close(self) -> None:
        """Close the file."""
        if self._writer is not None:
            self._writer.cancel()
        self._file.close()

    async def _handle(self, message: Claim | Release) -> ClaimReply:
        now = time.monotonic()
        self._sweep(now)
        match message:
            case Claim(key):
                if self.abstains:
                    raise ClaimsAbstainError
                held = self._held.get(key)
                if held is None:
                    self._apply(message, now)
                    self._append(message)
                claim = message if held is None else held.claim
            case Release(key, attempt):
                held = self._held.get(key)
                if held is None or held.claim.attempt != attempt:
                    return ClaimReply(Claim(key, attempt))
                self._apply(message, now)
                self._append(message)
                claim = held.claim
        if self._synced is not None:
            await asyncio.shield(self._synced)
        return ClaimReply(claim)

    def _apply(self, message: Claim | Release, now: float) -> None:
        match message:
            case Claim(key, retention_s=retention_s):
                expires_at = now + min(retention_s, MAX_KEY_RETENTION_S)
                self._held.setdefault(key, _Held(message, expires_at))
                slot = int(expires_at / SLOT_S) + 1
                self._slots.setdefault(slot, []).append(key)
            case Release(key, attempt):
                held = self._held.get(key)
                if held is not None and held.claim.attempt == attempt:
                    self._held.pop(key)

    def _append(self, message: Claim | Release) -> None:
        """Have a message written; `_synced` tells when it is."""
        if self._batch is None:
            self._batch = _Batch()
            self._synced = self._batch.synced
        self._batch.messages.append(message)
        if self._writer is None:
            self._writer = asyncio.create_task(self._write())

    async def _write(self) -> None:
        """Write and sync what has gathered, until nothing has."""
        while self._batch is not None:
            writing, self._batch = self._batch, None
            try:
                await asyncio.to_thread(self._file.append, writing.messages)
            except StorageError as error:
                writing.synced.set_exception(error)
                writing.synced.exception()
            else:
                writing.synced.set_result(None)
            await self._compact()
        self._writer = None

    def _sweep(self, now: float) -> None:
        """Drop the claims that have expired."""
        ended = [slot for slot in self._slots if slot * SLOT_S <= now]
        for key in itertools.chain(*(self._slots.pop(slot) for slot in ended)):
            held = self._held.get(key)
            if held is not None and held.expires_at <= now:
                self._held.pop(key)

    async def _compact(self) -> None:
        """Rewrite the file once most of it is no longer needed."""
        if self._file.records <= 2 * len(self._held) + SPARE_RECORDS:
            return
        live = self._live()
        try:
            await asyncio.to_thread(self._file.rewrite, self._file.birth, live)
        except StorageError as error:
            log.error("The claims can't be compacted: {}.", error.detail)

    def _live(self) -> list[Claim]:
        return [held.claim for held in self._held.values()]


class _Batch:
    """Messages that are synced together."""

    __slots__ = ('messages', 'synced')

    def __init__(self) -> None:
        self.messages: list[Claim | Release] = []
        self.synced: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
