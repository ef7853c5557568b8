"""Requests with an idempotency key that may not be repeated.

An attempt starts only with the claims of a majority of the control hosts. A
resend finds the node that holds the claim and gets the recorded outcome.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from loguru import logger

from lycheespar.admission.key_records import (
    KeyRecord,
    KeyRecords,
    kept,
    key_digest,
    replay,
    whole,
)
from lycheespar.call import Answer, Call, Dispatch
from lycheespar.control.claims_quorum import (
    ClaimQuorum,
    Held,
    Unavailable,
    Won,
)
from lycheespar.control.messages import Claim
from lycheespar.errors import (
    AttemptNotRunError,
    ClaimLostError,
    ClaimUnavailableError,
    DeadlineUnreachableError,
    InternalRequestError,
    KeyReuseError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
    StillRunningError,
)
from lycheespar.routing.recall import Recall

# Longest time in seconds for the claims of the control hosts.
CLAIM_TIMEOUT_S: Final = 0.5
# Rounds of claims that one request makes.
CLAIM_ROUNDS: Final = 4
# Longest pause in seconds between two rounds.
CLAIM_PAUSE_S: Final = 0.05
# Time in seconds for which a claim holds beyond its request's deadline.
MARGIN_S: Final = 60
# Time in seconds after which a caller may try a lost claim again.
RETRY_S: Final = 0.2
_ATTEMPT_BYTES: Final = 16

log = logger.bind(part='routing')


class KeyedDispatch:
    """Dispatches each key at most once; passes other calls on.

    Parameters
    ----------
    dispatch : Dispatch
        Runs the calls.
    quorum : ClaimQuorum
        Asks the control hosts.
    records : KeyRecords
        Attempts that this node made.
    recall : Recall
        Asks other nodes for recorded outcomes.
    retention_s : Callable[[str], float]
        Time in seconds for which a service's keys are remembered.
    """

    __slots__ = (
        '_dispatch',
        '_quorum',
        '_recall',
        '_records',
        '_retention_s',
        '_tasks',
    )

    def __init__(
        self,
        dispatch: Dispatch,
        quorum: ClaimQuorum,
        records: KeyRecords,
        recall: Recall,
        retention_s: Callable[[str], float],
    ) -> None:
        """Keep the parts."""
        self._dispatch = dispatch
        self._quorum = quorum
        self._records = records
        self._recall = recall
        self._retention_s = retention_s
        self._tasks: set[asyncio.Task[Answer]] = set()

    async def dispatch(self, call: Call) -> Answer:
        """Run a call, or give the recorded outcome of its key.

        An attempt goes on when its caller is lost, so that a resend finds
        its answer.

        Raises
        ------
        KeyReuseError
            The key was used with another request.
        StillRunningError
            An attempt with this key is under way.
        OutcomeUnknownError
            An attempt with this key may have run.
        RefusedError
            The call was definitely not run.
        """
        if call.idempotent or not call.idempotency_key:
            return await self._dispatch.dispatch(call)
        known = self._records.attempt(key_digest(call))
        if known is not None:
            return await self._replay(known, call)
        if self._records.full:
            raise ClaimUnavailableError('too many keys are remembered')
        record = self._begin(call)
        task = asyncio.create_task(self._attempt(call, record))
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return await asyncio.shield(task)

    def _begin(self, call: Call) -> KeyRecord:
        """Record a new attempt before anything is sent about it."""
        now = asyncio.get_running_loop().time()
        retention_s = max(
            self._retention_s(call.service),
            call.deadline - now + MARGIN_S,
        )
        return self._records.begin(call, _new_attempt(), retention_s)

    def _finish(self, task: asyncio.Task[Answer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _replay(self, known: KeyRecord, call: Call) -> Answer:
        """Answer from this node's own record, or from the target's node."""
        try:
            return replay(known, call)
        except OutcomeUnknownError as error:
            if isinstance(known.outcome, StillRunningError):
                raise
            return await self._recall.search(call, error)

    async def _attempt(self, call: Call, record: KeyRecord) -> Answer:
        """Claim the key, then run the call; record how it ends."""
        try:
            answer = await self._claimed(call, record)
        except RequestError as error:
            if record.started and not isinstance(error, RefusedError):
                self._records.end(record, error)
            else:
                self._void(record)
                self._records.drop(record)
            raise
        except Exception as error:
            self._records.end(record, InternalRequestError(str(error)))
            raise
        self._records.end(record, kept(answer))
        return answer

    async def _claimed(self, call: Call, record: KeyRecord) -> Answer:
        for _ in range(CLAIM_ROUNDS):
            answer = await self._round(call, record)
            if answer is not None:
                return answer
            await asyncio.sleep(random.uniform(0, CLAIM_PAUSE_S))
        raise ClaimLostError(retry_after_s=RETRY_S)

    async def _round(self, call: Call, record: KeyRecord) -> Answer | None:
        """Claim the key once; return nothing if it must be claimed again."""
        match await self._claim(call, record):
            case Won():
                return await self._run(call, record)
            case Held(claim, surely):
                self._void(record)
                return await self._outcome(call, claim, surely=surely)
            case Unavailable():
                raise ClaimUnavailableError(retry_after_s=RETRY_S)

    async def _claim(
        self,
        call: Call,
        record: KeyRecord,
    ) -> Won | Held | Unavailable:
        now = asyncio.get_running_loop().time()
        claim = Claim(
            record.key,
            record.attempt,
            record.fingerprint,
            self._recall.node,
            self._recall.incarnation,
            record.expires_at - time.monotonic(),
        )
        timeout_s = min(CLAIM_TIMEOUT_S, call.deadline - now)
        return await self._quorum.claim(claim, timeout_s)

    async def _run(self, call: Call, record: KeyRecord) -> Answer:
        if asyncio.get_running_loop().time() >= call.deadline:
            raise DeadlineUnreachableError('claimed too late')
        record.started = True
        return await whole(await self._dispatch.dispatch(call))

    async def _outcome(
        self,
        call: Call,
        claim: Claim,
        *,
        surely: bool,
    ) -> Answer | None:
        """Return the answer of another attempt, or nothing to claim again.

        Raises
        ------
        KeyReuseError
            The other attempt is for another request.
        OutcomeUnknownError
            The other attempt may run.
        """
        if claim.fingerprint != call.fingerprint:
            raise KeyReuseError
        try:
            return await self._recall.of_holder(call, claim)
        except AttemptNotRunError:
            self._quorum.release(claim.key, claim.attempt, CLAIM_TIMEOUT_S)
        except StillRunningError:
            if surely:
                raise
        return None

    def _void(self, record: KeyRecord) -> None:
        """Give the claims of an attempt back that will never start.

        A later round is another attempt, so that no late release ends its
        claims.
        """
        self._quorum.release(record.key, record.attempt, CLAIM_TIMEOUT_S)
        self._records.void(record, _new_attempt())


def _new_attempt() -> bytes:
    return random.randbytes(_ATTEMPT_BYTES)
