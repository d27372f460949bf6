"""The state that a node keeps for each route in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.io_counters import RouteCounters
from rhubarbhollow_calls.weighted_choice import WeightedChoice

if TYPE_CHECKING:
    from random import Random

    from rhubarbhollow_calls.call_route import CallRoute
    from rhubarbhollow_calls.retry_budget import RetryBudget


class RouteState:
    """Hold a route's counters, retry budget and encoded field lines.

    The counters are carried over from the previous release; the header
    field lines are encoded anew.  Routes with the same service and
    budget ratio share one budget.
    """

    __slots__ = (
        "budget",
        "counters",
        "position",
        "request_field_lines",
        "response_field_lines",
        "route",
        "services",
    )

    def __init__(
        self,
        route: CallRoute,
        position: int,
        budget: RetryBudget,
        previous: RouteState | None,
        random: Random,
    ) -> None:
        self.route = route
        self.position = position
        self.counters: RouteCounters = (
            RouteCounters() if previous is None else previous.counters
        )
        self.budget = budget
        parts = route.splits or ((route.service, 1.0),)
        self.services: WeightedChoice = (
            previous.services
            if previous is not None and previous.services.parts == parts
            else WeightedChoice(parts, random)
        )
        self.response_field_lines = b"%b: %d\r\n" % (names.POSITION, position)
        self.request_field_lines = (
            b"%b: %d\r\n%b: %b\r\n%b: %b\r\n%b: %b\r\n"
            % (
                names.POSITION,
                position,
                names.ROUTE,
                route.name.encode(),
                names.PRIORITY,
                route.priority.name.lower().encode(),
                names.IDEMPOTENT,
                b"true" if route.is_idempotent else b"false",
            )
        )
