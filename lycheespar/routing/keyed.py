"""At-most-once execution of requests with an idempotency key.

An attempt starts only after a majority of the control hosts granted its claim.
A resend looks up the node that holds the claim and gets the recorded outcome.
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
    buffer_small_body,
    key_digest,
    outcome_to_record,
    replay_outcome,
)
from lycheespar.call import Answer, Call, Dispatch
from lycheespar.control.claims.claims_quorum import (
    ClaimQuorum,
    HeldByOther,
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
from lycheespar.routing.recall import OutcomeLookup

# Time-out in seconds of claim requests to the control hosts.
CLAIM_TIMEOUT_S: Final = 0.5
# Number of times that one request tries to claim its key.
MAX_CLAIM_ROUNDS: Final = 4
# Longest pause in seconds between two such rounds; it is random.
MAX_CLAIM_PAUSE_S: Final = 0.05
# Shortest time in seconds for which a claim is retained after its request's
# deadline.
CLAIM_MARGIN_S: Final = 60
# Value in seconds of ``Retry-After`` when the key could not be claimed.
RETRY_AFTER_S: Final = 0.2
_ATTEMPT_BYTES: Final = 16

log = logger.bind(part='routing')


class KeyedDispatch:
    """Runs the call of each idempotency key at most once.

    Idempotent calls and calls without a key are dispatched unchanged.

    Parameters
    ----------
    dispatch : Dispatch
        Dispatches the calls to targets.
    quorum : ClaimQuorum
        Claims keys at the control hosts.
    records : KeyRecords
        Records of the attempts made by this node.
    lookup : OutcomeLookup
        Looks up outcomes recorded at other nodes.
    retention_s : Callable[[str], float]
        Returns the time in seconds for which a service's keys are retained.
    """

    __slots__ = (
        '_dispatch',
        '_lookup',
        '_quorum',
        '_records',
        '_retention_s',
        '_tasks',
    )

    def __init__(
        self,
        dispatch: Dispatch,
        quorum: ClaimQuorum,
        records: KeyRecords,
        lookup: OutcomeLookup,
        retention_s: Callable[[str], float],
    ) -> None:
        """Create a dispatcher with no attempts in progress."""
        self._dispatch = dispatch
        self._quorum = quorum
        self._records = records
        self._lookup = lookup
        self._retention_s = retention_s
        self._tasks: set[asyncio.Task[Answer]] = set()

    async def dispatch(self, call: Call) -> Answer:
        """Run a call, or return the recorded outcome of its key.

        An attempt continues when its caller disconnects, so that a resend can
        get its answer.

        Raises
        ------
        KeyReuseError
            The key was used with another request.
        StillRunningError
            An attempt with this key is in progress.
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
            raise ClaimUnavailableError('the table of idempotency keys is full')
        record = self._begin_record(call)
        task = asyncio.create_task(self._run_attempt(call, record))
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return await asyncio.shield(task)

    def _begin_record(self, call: Call) -> KeyRecord:
        """Record a new attempt before any message about it is sent."""
        now = asyncio.get_running_loop().time()
        retention_s = max(
            self._retention_s(call.service),
            call.deadline - now + CLAIM_MARGIN_S,
        )
        return self._records.begin(call, _new_attempt_id(), retention_s)

    def _forget_task(self, task: asyncio.Task[Answer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _replay(self, known: KeyRecord, call: Call) -> Answer:
        """Return the outcome of a known key.

        The record of this node comes first. If it does not say how the
        attempt ended, the other nodes of the service are asked.
        """
        try:
            return replay_outcome(known, call)
        except OutcomeUnknownError as error:
            if isinstance(known.outcome, StillRunningError):
                raise
            return await self._lookup.search_service(call, error)

    async def _run_attempt(self, call: Call, record: KeyRecord) -> Answer:
        """Claim the key, run the call and record the outcome."""
        try:
            answer = await self._claim_and_run(call, record)
        except RequestError as error:
            if record.started and not isinstance(error, RefusedError):
                self._records.end(record, error)
            else:
                self._void_attempt(record)
                self._records.remove(record)
            raise
        except Exception as error:
            self._records.end(record, InternalRequestError(str(error)))
            raise
        self._records.end(record, outcome_to_record(answer))
        return answer

    async def _claim_and_run(self, call: Call, record: KeyRecord) -> Answer:
        """Try to claim the key, several times if needed, and run the call."""
        for _ in range(MAX_CLAIM_ROUNDS):
            answer = await self._run_claim_round(call, record)
            if answer is not None:
                return answer
            await asyncio.sleep(random.uniform(0, MAX_CLAIM_PAUSE_S))
        raise ClaimLostError(retry_after_s=RETRY_AFTER_S)

    async def _run_claim_round(
        self, call: Call, record: KeyRecord
    ) -> Answer | None:
        """Try once to claim the key and run the call.

        Returns None if the key must be claimed again.
        """
        match await self._claim(call, record):
            case Won():
                return await self._run(call, record)
            case HeldByOther(claim, by_majority):
                self._void_attempt(record)
                return await self._other_outcome(
                    call,
                    claim,
                    by_majority=by_majority,
                )
            case Unavailable():
                raise ClaimUnavailableError(retry_after_s=RETRY_AFTER_S)

    async def _claim(
        self,
        call: Call,
        record: KeyRecord,
    ) -> Won | HeldByOther | Unavailable:
        now = asyncio.get_running_loop().time()
        claim = Claim(
            record.key,
            record.attempt,
            record.fingerprint,
            self._lookup.node,
            self._lookup.incarnation,
            record.expires_at - time.monotonic(),
        )
        timeout_s = min(CLAIM_TIMEOUT_S, call.deadline - now)
        return await self._quorum.claim(claim, timeout_s)

    async def _run(self, call: Call, record: KeyRecord) -> Answer:
        if asyncio.get_running_loop().time() >= call.deadline:
            raise DeadlineUnreachableError(
                'the deadline passed while the key was claimed'
            )
        record.started = True
        return await buffer_small_body(await self._dispatch.dispatch(call))

    async def _other_outcome(
        self,
        call: Call,
        claim: Claim,
        *,
        by_majority: bool,
    ) -> Answer | None:
        """Return the answer of the attempt that holds the key.

        Returns None if the key must be claimed again: that attempt did not
        run, or it is in progress without the claims of a majority.

        Parameters
        ----------
        call : Call
            The call.
        claim : Claim
            The claim of the other attempt.
        by_majority : bool
            Whether a majority of the control hosts granted that claim.

        Raises
        ------
        KeyReuseError
            The other attempt is for another request.
        StillRunningError
            The other attempt is in progress.
        OutcomeUnknownError
            The other attempt may have run.
        """
        if claim.fingerprint != call.fingerprint:
            raise KeyReuseError
        try:
            return await self._lookup.outcome_of_holder(call, claim)
        except AttemptNotRunError:
            self._quorum.release(claim.key, claim.attempt, CLAIM_TIMEOUT_S)
        except StillRunningError:
            if by_majority:
                raise
        return None

    def _void_attempt(self, record: KeyRecord) -> None:
        """Release the claims of an attempt that will never start.

        The record gets a new attempt id for the next round. A release that
        arrives late can then not remove the claims of that round.
        """
        self._quorum.release(record.key, record.attempt, CLAIM_TIMEOUT_S)
        self._records.mark_not_run(record, _new_attempt_id())


def _new_attempt_id() -> bytes:
    return random.randbytes(_ATTEMPT_BYTES)
