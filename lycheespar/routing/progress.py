"""What the attempts of one call have in common."""

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
    may_repeat,
    retry_cost,
    worse,
)

# Refusals of the target itself, not of its node.
_REACHED_TARGET: Final = (TargetRefusedError, MisdirectedError)


class Progress:
    """Attempts of one call so far.

    Parameters
    ----------
    call : Call
        The call.
    budget : RetryBudget
        Pays for further attempts.

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
        '_lost',
        '_refusals',
        'tried',
    )

    def __init__(self, call: Call, budget: RetryBudget) -> None:
        """Start without attempts."""
        self.tried: set[str] = set()
        self._call = call
        self._budget = budget
        self._attempts = 0
        self._lost = 0
        self._refusals = 0
        self._answer: Answer | None = None
        self._failure: RequestError | None = None

    def take_answer(self, answer: Answer) -> bool:
        """Note an answer; say whether another attempt is to be made."""
        self._answer = answer
        if not may_repeat(self._call, answer):
            return False
        return self.pay(RUN_COST)

    def take_error(self, error: RequestError) -> bool:
        """Note a failure; say whether another attempt is to be made."""
        self._lost += isinstance(error, TargetLostError)
        self._failure = worse(self._failure, error)
        cost = retry_cost(self._call, error, self._lost)
        if cost is None:
            return False
        refused = isinstance(error, RefusedError)
        if refused and not isinstance(error, _REACHED_TARGET):
            return self._pay_refusal(cost)
        return self.pay(cost)

    def pay(self, cost: float) -> bool:
        """Pay for another attempt; say whether it may be made."""
        self._attempts += 1
        if self._attempts >= (self._call.max_attempts or MAX_ATTEMPTS):
            return False
        return self._budget.withdraw(cost)

    def result(self) -> Answer:
        """Return the newest answer.

        Raises
        ------
        RequestError
            There is none.
        """
        if self._answer is None:
            raise self._failure or NoTargetError(self._call.service)
        return self._answer

    def _pay_refusal(self, cost: float) -> bool:
        """Pay for an attempt after one that reached no target."""
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            return False
        return self._budget.withdraw(cost)
