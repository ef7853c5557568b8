"""Records of the outcomes of idempotency keys at one node.

A node has up to two records of a key: one of the attempt that it made for a
caller, and one of the execution at its own target.
"""

from __future__ import annotations

import hashlib
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from lycheespar.admission.expiring_ids import ExpiringIds
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

# Maximum size in bytes of all retained answers.
MAX_RETAINED_BYTES: Final = 8 * 1024 * 1024
# Time in seconds after which a caller may retry while an attempt is running.
RUNNING_RETRY_AFTER_S: Final = 0.5
# Minimum time in seconds for which attempts that did not run are remembered.
MIN_NOT_RUN_AGE_S: Final = 600
# Maximum number of records.
MAX_RECORDS: Final = 50_000
_DIGEST_BYTES: Final = 16

Outcome = Answer | RequestError


def key_digest(call: Call) -> bytes:
    """Return the digest of a call's service and idempotency key."""
    text = f'{call.service}\0{call.idempotency_key}'
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


class KeyRecord(msgspec.Struct):
    """Record of one attempt or execution.

    Attributes
    ----------
    key : bytes
        Digest of service and key.
    attempt : bytes
        Identity of the attempt; empty for an execution.
    fingerprint : bytes
        Digest of the request.
    expires_at : float
        Instant of the monotonic clock, in seconds, at which it expires.
    outcome : Outcome
        Its outcome, or `StillRunningError` until it has ended.
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
        """Size in bytes of the retained answer."""
        match self.outcome:
            case Answer(body=bytes(body)):
                return len(body)
            case _:
                return 0


class KeyRecords:
    """Table of records by key; expired records are dropped."""

    __slots__ = (
        '_attempts',
        '_by_creation',
        '_executions',
        '_not_run',
        '_retained_bytes',
        '_with_answer',
    )

    def __init__(self) -> None:
        """Create a table without records."""
        self._attempts: dict[bytes, KeyRecord] = {}
        self._executions: dict[bytes, KeyRecord] = {}
        self._not_run = ExpiringIds(MIN_NOT_RUN_AGE_S)
        self._by_creation: deque[tuple[float, KeyRecord]] = deque()
        self._with_answer: deque[KeyRecord] = deque()
        self._retained_bytes = 0

    def attempt(self, key: bytes) -> KeyRecord | None:
        """Return the record of this node's latest attempt for a key."""
        return _unless_expired(self._attempts.get(key))

    def execution(self, key: bytes) -> KeyRecord | None:
        """Return the record of the execution of a key at the local target."""
        return _unless_expired(self._executions.get(key))

    @property
    def full(self) -> bool:
        """Whether the table has no room for another record."""
        self._expire(time.monotonic())
        return len(self._by_creation) >= MAX_RECORDS

    def begin(
        self,
        call: Call,
        attempt: bytes,
        retention_s: float,
    ) -> KeyRecord:
        """Create the record of an attempt, or of an execution.

        If `attempt` is empty, the record is that of an execution.
        """
        now = time.monotonic()
        self._expire(now)
        record = KeyRecord(
            key_digest(call),
            attempt,
            call.fingerprint,
            now + retention_s,
            StillRunningError(retry_after_s=RUNNING_RETRY_AFTER_S),
        )
        self._table(record)[record.key] = record
        self._by_creation.append((record.expires_at, record))
        return record

    def end(self, record: KeyRecord, outcome: Outcome) -> None:
        """Record the outcome of an attempt or execution.

        The oldest answers are dropped if their size exceeds the limit.
        """
        record.outcome = outcome
        if record.size:
            self._with_answer.append(record)
            self._retained_bytes += record.size
        while self._retained_bytes > MAX_RETAINED_BYTES:
            oldest = self._with_answer.popleft()
            self._retained_bytes -= oldest.size
            oldest.outcome = OutcomeUnknownError(
                'the answer is no longer retained'
            )

    def mark_not_run(self, record: KeyRecord, attempt: bytes) -> None:
        """Record that an attempt did not run; reuse its record for another.

        Parameters
        ----------
        record : KeyRecord
            Record of the attempt.
        attempt : bytes
            Identity of the attempt that replaces it.
        """
        self._not_run.add(record.attempt)
        record.attempt = attempt

    def remove(self, record: KeyRecord) -> None:
        """Remove the record of an attempt or execution."""
        table = self._table(record)
        if table.get(record.key) is record:
            table.pop(record.key)

    def recall(self, key: bytes, attempt: bytes) -> Outcome:
        """Return the outcome of an attempt, or of an execution."""
        if attempt in self._not_run:
            return AttemptNotRunError()
        record = self.attempt(key) if attempt else self.execution(key)
        if record is None or record.attempt != attempt:
            return OutcomeUnknownError('this node has no record of the key')
        return record.outcome

    def _table(self, record: KeyRecord) -> dict[bytes, KeyRecord]:
        return self._attempts if record.attempt else self._executions

    def _expire(self, now: float) -> None:
        """Drop expired records.

        The queue is in order of creation: a record that expires before an
        older one stays until that one expires.
        """
        while self._by_creation and self._by_creation[0][0] <= now:
            _, record = self._by_creation.popleft()
            self.remove(record)
            if self._with_answer and self._with_answer[0] is record:
                self._with_answer.popleft()
                self._retained_bytes -= record.size


def _unless_expired(record: KeyRecord | None) -> KeyRecord | None:
    if record is None or record.expires_at <= time.monotonic():
        return None
    return record


def replay_outcome(record: KeyRecord, call: Call) -> Answer:
    """Return the recorded outcome for a retry of the same request.

    Raises
    ------
    KeyReuseError
        The key was used with a different request.
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


class _PartlyReadBody:
    """A streamed body whose first chunks have already been read."""

    __slots__ = ('_read', '_remaining')

    def __init__(
        self, read: list[bytes], remaining: AsyncIterator[bytes]
    ) -> None:
        self._read = deque(read)
        self._remaining = remaining

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._read:
            return self._read.popleft()
        return await anext(self._remaining)

    async def aclose(self) -> None:
        """Close the remaining stream."""
        await close_stream(self._remaining)


async def buffer_small_body(answer: Answer) -> Answer:
    """Read a small streamed body as a whole, so that it can be recorded."""
    if isinstance(answer.body, bytes):
        return answer
    chunks: list[bytes] = []
    size = 0
    async for chunk in answer.body:
        chunks.append(chunk)
        size += len(chunk)
        if size > INLINE_BYTES:
            answer.body = _PartlyReadBody(chunks, answer.body)
            return answer
    answer.body = b''.join(chunks)
    return answer


def outcome_to_record(answer: Answer) -> Outcome:
    """Return the outcome to record for an answer.

    Answers whose body is still a stream are not retained.
    """
    if isinstance(answer.body, bytes):
        return answer
    return OutcomeUnknownError(
        'the request ran, but its answer was not retained'
    )
