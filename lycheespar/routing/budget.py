"""Budget of retries and hedges, a share of the fresh calls."""

from __future__ import annotations

from typing import Final

# Retries that may be saved up, so that a quiet service can retry at all.
BURST: Final = 10


class RetryBudget:
    """Token bucket of one service that fresh calls fill.

    Attributes
    ----------
    fresh, spent, denied : int
        Fresh calls, retries and hedges paid for, and those denied, so far.
    """

    __slots__ = ('_tokens', 'denied', 'fresh', 'spent')

    def __init__(self) -> None:
        """Start full."""
        self._tokens = float(BURST)
        self.fresh = 0
        self.spent = 0
        self.denied = 0

    def deposit(self, share: float) -> None:
        """Count a fresh call.

        Parameters
        ----------
        share : float
            Retries and hedges that one fresh call allows, 0 to 1.
        """
        self.fresh += 1
        self._tokens = min(self._tokens + share, BURST)

    def withdraw(self, cost: float) -> bool:
        """Pay for one retry or hedge; say whether there was enough."""
        if self._tokens < cost:
            self.denied += 1
            return False
        self._tokens -= cost
        self.spent += 1
        return True


class RetryBudgets:
    """Budgets by service."""

    __slots__ = ('_budgets',)

    def __init__(self) -> None:
        """Start without services."""
        self._budgets: dict[str, RetryBudget] = {}

    def of_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets[service] = budget
        return budget
