"""Sends each call to a target; retries and hedges where that is safe."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Final

from msgspec.structs import replace

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Parameters
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import RequestError
from lycheespar.routing.attempts import Attempts
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.hedge import first_answer
from lycheespar.routing.policy import FAILED_STATUSES, RUN_COST
from lycheespar.routing.progress import Progress
from lycheespar.routing.table import TargetState
from lycheespar.telemetry.events import AttemptFailed, Hedged, events

MS_PER_S: Final = 1000
_CALL_ID_BYTES: Final = 16
_DEFAULTS: Final = Parameters()


class Router:
    """Dispatches the calls of this node's callers.

    Parameters
    ----------
    attempts : Attempts
        Runs single attempts.
    configuration : ConfigurationView
        Gives the parameters of the services.
    budgets : RetryBudgets
        Pay for retries and hedges.
    """

    __slots__ = ('_attempts', '_budgets', '_configuration')

    def __init__(
        self,
        attempts: Attempts,
        configuration: ConfigurationView,
        budgets: RetryBudgets,
    ) -> None:
        """Keep the parts."""
        self._attempts = attempts
        self._configuration = configuration
        self._budgets = budgets

    async def dispatch(self, call: Call) -> Answer:
        """Run a call at one of its service's targets.

        A call that was definitely not run goes to another target; one that
        may have run does so only if it is idempotent. The caller's call is
        left as it is.

        Raises
        ------
        RequestError
            No target gave an answer.
        """
        service = self._configuration.services.get(call.service)
        parameters = _DEFAULTS if service is None else service.parameters
        budget = self._budgets.count(
            call.service,
            parameters.retry_share,
            self._attempts.nodes,
        )
        progress = Progress(call, budget)
        after_s = call.hedge_after_s or parameters.hedge_after_ms / MS_PER_S
        if after_s and _may_hedge(call):
            return await self._hedge(call, progress, after_s)
        return await self._run(call, progress)

    async def _hedge(
        self,
        call: Call,
        progress: Progress,
        after_s: float,
    ) -> Answer:
        """Run a call; run it elsewhere too if it takes long."""
        first = asyncio.create_task(self._run(call, progress))
        try:
            done, _ = await asyncio.wait((first,), timeout=after_s)
        except asyncio.CancelledError:
            first.cancel()
            raise
        if done:
            return await first_answer(first)
        state = await self._attempts.choose(
            call,
            progress.tried,
            only_free=True,
        )
        if state is None or first.done() or not progress.pay(RUN_COST):
            return await first_answer(first)
        events.write(
            Hedged(call.request_id, state.record.node, after_s * MS_PER_S),
        )
        second = asyncio.create_task(
            self._run(_attempt(call), progress, state),
        )
        return await first_answer(first, second)

    async def _run(
        self,
        call: Call,
        progress: Progress,
        state: TargetState | None = None,
    ) -> Answer:
        """Try targets one after the other, from a chosen one on."""
        again = True
        while again:
            if state is None:
                state = await self._attempts.choose(call, progress.tried)
            if state is None:
                break
            again = await self._try(call, state, progress)
            if again:
                call = _attempt(call)
                state = None
        return progress.result()

    async def _try(
        self,
        call: Call,
        state: TargetState,
        progress: Progress,
    ) -> bool:
        """Make one attempt; say whether another one is to follow."""
        known = state.load, state.load_age_s
        try:
            answer = await self._attempts.run(call, state)
        except RequestError as error:
            again = progress.take_error(error)
            _report(call, state, known, error.code, again=again)
            return again
        again = progress.take_answer(answer)
        if answer.status in FAILED_STATUSES:
            _report(call, state, known, str(answer.status), again=again)
        return again


def _report(
    call: Call,
    state: TargetState,
    known: tuple[Load, float],
    code: str,
    *,
    again: bool,
) -> None:
    """Log an attempt that failed, with what decided on its target."""
    load, age_s = known
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


def _attempt(call: Call) -> Call:
    """Copy a call for another attempt, which has an identity of its own."""
    return replace(call, call_id=random.randbytes(_CALL_ID_BYTES))
