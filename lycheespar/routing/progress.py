"""State that is shared by all attempts of one call."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    MisdirectedError,
    NoTargetError,
    RefusedError,
    RequestError,
    TargetLostError,
    TargetRefusedError,
)
from lycheespar.routing.budget import RetryBudget
from lycheespar.routing.policy import (
    MAX_ATTEMPTS,
    MAX_REFUSALS,
    RUN_COST,
    failure_to_report,
    may_retry_answer,
    retry_cost,
)

# Refusals by the target itself, not by its node.
_TARGET_REFUSALS: Final = (TargetRefusedError, MisdirectedError)


class CallProgress:
    """Counts the attempts of one call and collects their results.

    Parameters
    ----------
    call : Call
        The call.
    budget : RetryBudget
        Retry budget of the call's service.

    Attributes
    ----------
    tried : set[str]
        Nodes whose targets were tried.
    """

    __slots__ = (
        '_answer',
        '_attempts',
        '_budget',
        '_call',
        '_failure',
        '_lost_attempts',
        '_refusals',
        'tried',
    )

    def __init__(self, call: Call, budget: RetryBudget) -> None:
        """Create the state of a call without attempts."""
        self.tried: set[str] = set()
        self._call = call
        self._budget = budget
        self._attempts = 0
        self._lost_attempts = 0
        self._refusals = 0
        self._answer: Answer | None = None
        self._failure: RequestError | None = None

    def record_answer(self, answer: Answer) -> bool:
        """Record an answer and return whether to make another attempt."""
        self._answer = answer
        if not may_retry_answer(self._call, answer):
            return False
        return self.charge(RUN_COST)

    def record_error(self, error: RequestError) -> bool:
        """Record a failure and return whether to make another attempt."""
        self._lost_attempts += isinstance(error, TargetLostError)
        self._failure = failure_to_report(self._failure, error)
        cost = retry_cost(self._call, error, self._lost_attempts)
        if cost is None:
            return False
        refused = isinstance(error, RefusedError)
        if refused and not isinstance(error, _TARGET_REFUSALS):
            return self._charge_refusal(cost)
        return self.charge(cost)

    def record_lack_of_room(self, error: RefusedError) -> None:
        """Record that no target has room; nothing was sent or charged."""
        self._failure = failure_to_report(self._failure, error)

    def charge(self, cost: float) -> bool:
        """Charge the budget for an attempt and return whether it may start."""
        self._attempts += 1
        if self._attempts >= (self._call.max_attempts or MAX_ATTEMPTS):
            return False
        return self._budget.withdraw(cost)

    def result(self) -> Answer:
        """Return the latest answer.

        Raises
        ------
        RequestError
            No attempt returned an answer.
        """
        if self._answer is None:
            raise self._failure or NoTargetError(self._call.service)
        return self._answer

    def _charge_refusal(self, cost: float) -> bool:
        """Charge the budget for a retry after a refusal by a node."""
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            return False
        return self._budget.withdraw(cost)
