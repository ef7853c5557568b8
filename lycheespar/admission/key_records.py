"""Outcomes of idempotency keys, as one node knows them.

A node keeps two records of a key: one of the attempt that it made for a
caller, one of the execution at its own target.
"""

from __future__ import annotations

import hashlib
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from lycheespar.admission.generations import Generations
from lycheespar.call import Answer, Call
from lycheespar.errors import (
    AttemptNotRunError,
    KeyReuseError,
    OutcomeUnknownError,
    RequestError,
    StillRunningError,
)
from lycheespar.protocol.body import INLINE_BYTES
from lycheespar.streams import close_stream

# Most bytes of answers that are kept for their keys.
MAX_KEPT_BYTES: Final = 8 * 1024 * 1024
# Time in seconds after which a caller may ask for a running attempt again.
RUNNING_RETRY_S: Final = 0.5
# Least time in seconds for which attempts that did not run are remembered.
VOID_S: Final = 600
# Most records that are kept.
MAX_RECORDS: Final = 50_000
_DIGEST_BYTES: Final = 16

Outcome = Answer | RequestError


def key_digest(call: Call) -> bytes:
    """Return the digest of a call's service and idempotency key."""
    text = f'{call.service}\0{call.idempotency_key}'
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


class KeyRecord(msgspec.Struct):
    """What is known of one attempt or execution.

    Attributes
    ----------
    key : bytes
        Digest of service and key.
    attempt : bytes
        Identity of the attempt; empty for an execution.
    fingerprint : bytes
        Digest of the request.
    expires_at : float
        Instant of the monotonic clock, in seconds.
    outcome : Outcome
        How it ended, or `StillRunningError`.
    started : bool
        Whether the attempt may have been sent to a target.
    """

    key: bytes
    attempt: bytes
    fingerprint: bytes
    expires_at: float
    outcome: Outcome
    started: bool = False

    @property
    def size(self) -> int:
        """Bytes of the answer that is kept."""
        match self.outcome:
            case Answer(body=bytes(body)):
                return len(body)
            case _:
                return 0


class KeyRecords:
    """Records by key, dropped when they expire."""

    __slots__ = (
        '_answers',
        '_attempts',
        '_executions',
        '_kept_bytes',
        '_order',
        '_void',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[bytes, KeyRecord] = {}
        self._executions: dict[bytes, KeyRecord] = {}
        self._void = Generations(VOID_S)
        self._order: deque[tuple[float, KeyRecord]] = deque()
        self._answers: deque[KeyRecord] = deque()
        self._kept_bytes = 0

    def attempt(self, key: bytes) -> KeyRecord | None:
        """Return the newest attempt that this node made for a key."""
        return _holding(self._attempts.get(key))

    def execution(self, key: bytes) -> KeyRecord | None:
        """Return the execution for a key at this node's target."""
        return _holding(self._executions.get(key))

    @property
    def full(self) -> bool:
        """Whether no further key can be remembered."""
        self._expire(time.monotonic())
        return len(self._order) >= MAX_RECORDS

    def begin(
        self,
        call: Call,
        attempt: bytes,
        retention_s: float,
    ) -> KeyRecord:
        """Record an attempt, or an execution where `attempt` is empty."""
        now = time.monotonic()
        self._expire(now)
        record = KeyRecord(
            key_digest(call),
            attempt,
            call.fingerprint,
            now + retention_s,
            StillRunningError(retry_after_s=RUNNING_RETRY_S),
        )
        self._table(record)[record.key] = record
        self._order.append((record.expires_at, record))
        return record

    def end(self, record: KeyRecord, outcome: Outcome) -> None:
        """Record how an attempt or execution ended."""
        record.outcome = outcome
        if record.size:
            self._answers.append(record)
            self._kept_bytes += record.size
        while self._kept_bytes > MAX_KEPT_BYTES:
            oldest = self._answers.popleft()
            self._kept_bytes -= oldest.size
            oldest.outcome = OutcomeUnknownError('the answer was not kept')

    def void(self, record: KeyRecord, attempt: bytes) -> None:
        """Record that an attempt did not run, and begin another.

        Parameters
        ----------
        record : KeyRecord
            Record of the attempt.
        attempt : bytes
            Identity of the other one, which takes its place.
        """
        self._void.add(record.attempt)
        record.attempt = attempt

    def drop(self, record: KeyRecord) -> None:
        """Forget an attempt or execution that did not start."""
        table = self._table(record)
        if table.get(record.key) is record:
            table.pop(record.key)

    def recall(self, key: bytes, attempt: bytes) -> Outcome:
        """Return the outcome of an attempt, or of an execution."""
        if attempt in self._void:
            return AttemptNotRunError()
        record = self.attempt(key) if attempt else self.execution(key)
        if record is None or record.attempt != attempt:
            return OutcomeUnknownError('the key is not known here')
        return record.outcome

    def _table(self, record: KeyRecord) -> dict[bytes, KeyRecord]:
        return self._attempts if record.attempt else self._executions

    def _expire(self, now: float) -> None:
        """Drop expired records; one that follows a longer one waits for it."""
        while self._order and self._order[0][0] <= now:
            _, record = self._order.popleft()
            self.drop(record)
            if self._answers and self._answers[0] is record:
                self._answers.popleft()
                self._kept_bytes -= record.size


def _holding(record: KeyRecord | None) -> KeyRecord | None:
    if record is None or record.expires_at <= time.monotonic():
        return None
    return record


def replay(record: KeyRecord, call: Call) -> Answer:
    """Give the recorded outcome to a resend of its request.

    Raises
    ------
    KeyReuseError
        The key was used with another request.
    RequestError
        The recorded outcome.
    """
    if record.fingerprint != call.fingerprint:
        raise KeyReuseError
    match record.outcome:
        case Answer():
            return record.outcome
        case RequestError() as error:
            raise type(error)(error.detail, error.retry_after_s)


class _Joined:
    """A body of which the first chunks were read."""

    __slots__ = ('_first', '_rest')

    def __init__(self, first: list[bytes], rest: AsyncIterator[bytes]) -> None:
        self._first = deque(first)
        self._rest = rest

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._first:
            return self._first.popleft()
        return await anext(self._rest)

    async def aclose(self) -> None:
        """Close the rest of the body."""
        await close_stream(self._rest)


async def whole(answer: Answer) -> Answer:
    """Read a streamed body that is small, so that it can be kept."""
    if isinstance(answer.body, bytes):
        return answer
    chunks: list[bytes] = []
    size = 0
    async for chunk in answer.body:
        chunks.append(chunk)
        size += len(chunk)
        if size > INLINE_BYTES:
            answer.body = _Joined(chunks, answer.body)
            return answer
    answer.body = b''.join(chunks)
    return answer


def kept(answer: Answer) -> Outcome:
    """Return what is recorded of an answer."""
    if isinstance(answer.body, bytes):
        return answer
    return OutcomeUnknownError('the request ran, its answer was not kept')
