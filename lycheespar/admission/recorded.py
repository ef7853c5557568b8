"""Execution of calls with an idempotency key at the local target."""

from __future__ import annotations

from collections.abc import Callable

from lycheespar.admission.key_records import (
    KeyRecord,
    KeyRecords,
    buffer_small_body,
    key_digest,
    outcome_to_record,
    replay_outcome,
)
from lycheespar.call import Answer, Call, Execution
from lycheespar.errors import (
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    RequestError,
)


class RecordedExecution:
    """Records the outcomes of calls with a key and runs each key only once.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    records : KeyRecords
        Stores the outcomes.
    retention_s : Callable[[str], float]
        Returns the time in seconds for which a service's outcomes are retained.
    """

    __slots__ = ('_execution', '_records', '_retention_s')

    def __init__(
        self,
        execution: Execution,
        records: KeyRecords,
        retention_s: Callable[[str], float],
    ) -> None:
        """Wrap an execution; the outcomes go to the records."""
        self._execution = execution
        self._records = records
        self._retention_s = retention_s

    async def execute(self, call: Call) -> Answer:
        """Run a call, or return the recorded outcome of its key.

        Raises
        ------
        StillRunningError
            A call with this key is running at this node.
        OutcomeUnknownError
            A call with this key may have run at this node.
        """
        if call.idempotent or not call.idempotency_key:
            return await self._execution.execute(call)
        known = self._records.execution(key_digest(call))
        if known is not None:
            return replay_outcome(known, call)
        if self._records.full:
            raise OverloadedError('too many idempotency keys are recorded')
        retention_s = self._retention_s(call.service)
        record = self._records.begin(call, b'', retention_s)
        return await self._record(call, record)

    async def _record(self, call: Call, record: KeyRecord) -> Answer:
        try:
            answer = await buffer_small_body(
                await self._execution.execute(call)
            )
        except RefusedError:
            self._records.remove(record)
            raise
        except RequestError as error:
            self._records.end(record, error)
            raise
        except BaseException:
            if call.started:
                self._records.end(
                    record, OutcomeUnknownError('the call was cancelled')
                )
            else:
                self._records.remove(record)
            raise
        self._records.end(record, outcome_to_record(answer))
        return answer
