"""Budget of retries and hedges, a share of the fresh calls."""

from __future__ import annotations

from typing import Final

# Most retries that one node may save up for a service: enough for the calls
# that one lost target leaves behind.
MOST_SAVED: Final = 10
# Least that it may save up: one retry.
LEAST_SAVED: Final = 1


class RetryBudget:
    """Token bucket of one service that fresh calls fill.

    Attributes
    ----------
    fresh, spent, denied : int
        Fresh calls, retries and hedges paid for, and those denied, so far.
    """

    __slots__ = ('_saved', 'denied', 'fresh', 'spent')

    def __init__(self) -> None:
        """Start full."""
        self._saved = float('inf')
        self.fresh = 0
        self.spent = 0
        self.denied = 0

    def deposit(self, share: float, most: float) -> None:
        """Count a fresh call.

        Parameters
        ----------
        share : float
            Retries and hedges that one fresh call allows, 0 to 1.
        most : float
            Retries that may be saved up, so that a quiet service can retry at
            all.
        """
        self.fresh += 1
        self._saved = min(self._saved + share, most)

    def withdraw(self, cost: float) -> bool:
        """Pay for one retry or hedge; say whether there was enough."""
        if self._saved < cost:
            self.denied += 1
            return False
        self._saved -= cost
        self.spent += 1
        return True


class RetryBudgets:
    """Budgets by service, each a part of what all nodes may spend.

    Parameters
    ----------
    saved_by_all : float
        Retries that all nodes together may save up for one service.
    most_share : float
        Most retries for each fresh call, whatever the service's parameters.
    """

    __slots__ = ('_budgets', '_most_share', '_saved_by_all')

    def __init__(self, saved_by_all: float, most_share: float) -> None:
        """Start without services."""
        self._budgets: dict[str, RetryBudget] = {}
        self._saved_by_all = saved_by_all
        self._most_share = most_share

    @property
    def totals(self) -> tuple[int, int]:
        """Retries and hedges paid for, and those denied, of all services."""
        budgets = self._budgets.values()
        return (
            sum(budget.spent for budget in budgets),
            sum(budget.denied for budget in budgets),
        )

    def of_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets[service] = budget
        return budget

    def count(self, service: str, share: float, nodes: int) -> RetryBudget:
        """Count a fresh call; return the budget of its service.

        Parameters
        ----------
        service : str
            Name of the service.
        share : float
            Retries and hedges that the service allows for each fresh call.
        nodes : int
            Nodes that serve callers, this one included.
        """
        part = self._saved_by_all / max(nodes, 1)
        budget = self.of_service(service)
        budget.deposit(
            min(share, self._most_share),
            min(max(part, LEAST_SAVED), MOST_SAVED),
        )
        return budget
