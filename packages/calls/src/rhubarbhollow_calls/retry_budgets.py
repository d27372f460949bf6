"""The retry budgets of a node, by service and ratio."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.call_route import CallRoute
    from rhubarbhollow_wire.clock import Clock

# One retry in 50 s for a node with few calls. A hundred nodes together
# add 20 calls in 10 s to the load of a service.
MIN_RETRIES_PER_SECOND: Final = 0.02


class RetryBudgets:
    """Share one budget among the routes to a service.

    A node has few calls of each route, so the tokens of a single route
    would decay before they add up to one retry. Routes whose policies
    set different ratios have separate budgets.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[tuple[str, float], RetryBudget] = {}

    def of(self, route: CallRoute) -> RetryBudget:
        """Return the budget of a route; it is kept across releases."""
        key = (route.service, route.budget_ratio)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(
                route.budget_ratio, MIN_RETRIES_PER_SECOND, self._clock
            )
        return budget

    def retain(self, routes: Iterable[CallRoute]) -> None:
        """Discard the budgets that no route in ``routes`` uses."""
        used = {(route.service, route.budget_ratio) for route in routes}
        self._budgets = {
            key: budget for key, budget in self._budgets.items() if key in used
        }
