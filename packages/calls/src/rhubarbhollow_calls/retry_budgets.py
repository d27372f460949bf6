"""The retry budgets of a node, one for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.call_route import CallRoute
    from rhubarbhollow_wire.clock import Clock

# one retry in 50 s for a node with few calls; a hundred nodes together
# add 20 in 10 s to what a service gets
MIN_RETRIES_PER_SECOND: Final = 0.02


class RetryBudgets:
    """Share a budget among the routes to one service.

    A node has few calls of each route, whose share would make no whole
    retry before it fades.  Routes whose policies allow other shares
    have budgets of their own.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[tuple[str, float], RetryBudget] = {}

    def of(self, route: CallRoute) -> RetryBudget:
        """Return the budget for a route, which outlives releases."""
        key = (route.service, route.budget_ratio)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(
                route.budget_ratio, MIN_RETRIES_PER_SECOND, self._clock
            )
        return budget

    def retain(self, routes: Iterable[CallRoute]) -> None:
        """Forget the budgets that none of the routes has."""
        used = {(route.service, route.budget_ratio) for route in routes}
        self._budgets = {
            key: budget for key, budget in self._budgets.items() if key in used
        }
