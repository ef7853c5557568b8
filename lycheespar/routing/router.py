"""Routes each call to a target, with retries and hedges where safe."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Final

from msgspec.structs import replace

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Parameters
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OverloadedError, RequestError
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.hedge import abandon, first_answer
from lycheespar.routing.policy import FAILED_STATUSES, RUN_COST
from lycheespar.routing.progress import CallProgress
from lycheespar.routing.table import TargetState
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import AttemptFailed, Hedged

MS_PER_S: Final = 1000
_CALL_ID_BYTES: Final = 16
_DEFAULT_PARAMETERS: Final = Parameters()


class Router:
    """Dispatches the calls that this node's callers send.

    Parameters
    ----------
    attempts : AttemptRunner
        Selects targets and runs single attempts.
    configuration : ConfigurationView
        Provides the parameters of the services.
    budgets : RetryBudgets
        Limit retries and hedges.
    """

    __slots__ = ('_attempts', '_budgets', '_configuration')

    def __init__(
        self,
        attempts: AttemptRunner,
        configuration: ConfigurationView,
        budgets: RetryBudgets,
    ) -> None:
        """Create a router."""
        self._attempts = attempts
        self._configuration = configuration
        self._budgets = budgets

    async def dispatch(self, call: Call) -> Answer:
        """Run a call at one of its service's targets.

        A call that was definitely not run is sent to another target. A call
        that may have run is sent again only if it is idempotent. The `call`
        object itself is not modified; each further attempt uses a copy.

        Raises
        ------
        RequestError
            No target returned an answer.
        """
        service = self._configuration.services.get(call.service)
        parameters = (
            _DEFAULT_PARAMETERS if service is None else service.parameters
        )
        budget = self._budgets.count_call(
            call.service,
            parameters.retry_share,
            self._attempts.node_count,
        )
        progress = CallProgress(call, budget)
        delay_s = call.hedge_after_s or parameters.hedge_after_ms / MS_PER_S
        if delay_s and _may_hedge(call):
            return await self._hedge(call, progress, delay_s)
        return await self._run(call, progress)

    async def _hedge(
        self,
        call: Call,
        progress: CallProgress,
        delay_s: float,
    ) -> Answer:
        """Run a call, and a second time in parallel if there is no answer.

        The second run starts after `delay_s` at another target, if that one
        has free capacity and the retry budget allows it.
        """
        first = asyncio.create_task(self._run(call, progress))
        try:
            state = await self._choose_for_hedge(call, progress, first, delay_s)
        except asyncio.CancelledError:
            abandon(first)
            raise
        if state is None:
            return await first_answer(first)
        events.write(
            Hedged(call.request_id, state.record.node, delay_s * MS_PER_S),
        )
        second = asyncio.create_task(
            self._run(_copy_for_attempt(call), progress, state),
        )
        return await first_answer(first, second)

    async def _choose_for_hedge(
        self,
        call: Call,
        progress: CallProgress,
        first: asyncio.Task[Answer],
        delay_s: float,
    ) -> TargetState | None:
        """Wait for the first run; choose a target for a second one if late."""
        done, _ = await asyncio.wait((first,), timeout=delay_s)
        if done:
            return None
        state = await self._attempts.choose(
            call,
            progress.tried,
            only_free=True,
        )
        if state is None or first.done() or not progress.charge(RUN_COST):
            return None
        return state

    async def _run(
        self,
        call: Call,
        progress: CallProgress,
        state: TargetState | None = None,
    ) -> Answer:
        """Try one target after another, beginning with `state` if given."""
        again = True
        while again:
            if state is None:
                state = await self._choose(call, progress)
            if state is None:
                break
            again = await self._try_target(call, state, progress)
            if again:
                call = _copy_for_attempt(call)
                state = None
        return progress.result()

    async def _choose(
        self, call: Call, progress: CallProgress
    ) -> TargetState | None:
        """Choose a target; return None if there is none with room."""
        try:
            return await self._attempts.choose(call, progress.tried)
        except OverloadedError as error:
            progress.record_lack_of_room(error)
            return None

    async def _try_target(
        self,
        call: Call,
        state: TargetState,
        progress: CallProgress,
    ) -> bool:
        """Make one attempt and return whether to make another one."""
        load_and_age = state.load, state.load_age_s
        try:
            answer = await self._attempts.run(call, state)
        except RequestError as error:
            again = progress.record_error(error)
            _report_failure(call, state, load_and_age, error.code, again=again)
            return again
        again = progress.record_answer(answer)
        if answer.status in FAILED_STATUSES:
            _report_failure(
                call, state, load_and_age, str(answer.status), again=again
            )
        return again


def _report_failure(
    call: Call,
    state: TargetState,
    load_and_age: tuple[Load, float],
    code: str,
    *,
    again: bool,
) -> None:
    """Write an event for a failed attempt, with the load known before it."""
    load, age_s = load_and_age
    events.write(
        AttemptFailed(
            call.request_id,
            state.record.node,
            code,
            load.running,
            load.queued,
            load.limit,
            round(age_s * MS_PER_S, 1) if math.isfinite(age_s) else -1,
            again,
        ),
    )


def _may_hedge(call: Call) -> bool:
    return call.idempotent and isinstance(call.body, bytes)


def _copy_for_attempt(call: Call) -> Call:
    """Copy a call for another attempt, with a new call id."""
    return replace(call, call_id=random.randbytes(_CALL_ID_BYTES))
