"""Limits retries and hedges to a share of the new calls."""

from __future__ import annotations

from typing import Final

# Upper limit of the retries that one node saves up for a service: enough to
# retry the calls that were in progress at one lost target.
MAX_SAVED_RETRIES: Final = 10
# Lower limit of the retries that one node saves up for a service, so that a
# node can always save enough for one retry.
MIN_SAVED_RETRIES: Final = 1


class RetryBudget:
    """Token bucket for one service's retries, refilled by new calls.

    Attributes
    ----------
    new_calls : int
        Calls counted so far, without their retries and hedges.
    spent : int
        Retries and hedges that were allowed.
    denied : int
        Retries and hedges that were denied.
    """

    __slots__ = ('_tokens', 'denied', 'new_calls', 'spent')

    def __init__(self) -> None:
        """Create a full bucket."""
        self._tokens = float('inf')
        self.new_calls = 0
        self.spent = 0
        self.denied = 0

    def deposit(self, share: float, capacity: float) -> None:
        """Count a new call and add its share of tokens.

        Parameters
        ----------
        share : float
            Tokens that one new call adds, 0 to 1.
        capacity : float
            Most tokens that the bucket holds. The reserve allows retries also
            for a service with few calls.
        """
        self.new_calls += 1
        self._tokens = min(self._tokens + share, capacity)

    def withdraw(self, cost: float) -> bool:
        """Take tokens for one retry or hedge; return whether it is allowed."""
        if self._tokens < cost:
            self.denied += 1
            return False
        self._tokens -= cost
        self.spent += 1
        return True


class RetryBudgets:
    """This node's retry budgets, one for each service.

    The retries that may be saved up for a service are divided among all nodes.

    Parameters
    ----------
    saved_retries : float
        Retries that all nodes together may save up for one service.
    max_share : float
        Upper limit of the retries for each new call, which overrides a larger
        share in the service's parameters.
    """

    __slots__ = ('_budgets', '_max_share', '_saved_retries')

    def __init__(self, saved_retries: float, max_share: float) -> None:
        """Create an empty collection; budgets are added on first use."""
        self._budgets: dict[str, RetryBudget] = {}
        self._saved_retries = saved_retries
        self._max_share = max_share

    @property
    def totals(self) -> tuple[int, int]:
        """Allowed and denied retries and hedges, summed over all services."""
        budgets = self._budgets.values()
        return (
            sum(budget.spent for budget in budgets),
            sum(budget.denied for budget in budgets),
        )

    def of_service(self, service: str) -> RetryBudget:
        """Return the budget of a service, which is created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets[service] = budget
        return budget

    def count_call(
        self,
        service: str,
        share: float,
        nodes: int,
    ) -> RetryBudget:
        """Count a new call and return the budget of its service.

        Parameters
        ----------
        service : str
            Name of the service.
        share : float
            Retries and hedges that the service allows for each new call.
        nodes : int
            Number of nodes that serve callers, including this one.
        """
        node_share = self._saved_retries / max(nodes, 1)
        budget = self.of_service(service)
        budget.deposit(
            min(share, self._max_share),
            min(max(node_share, MIN_SAVED_RETRIES), MAX_SAVED_RETRIES),
        )
        return budget
