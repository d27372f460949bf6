"""The times of a ticket, from learned service times."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_admission.route_times import RouteTimes
    from rhubarbhollow_calls.slot_ticket import Ticket

MS_PER_SECOND: Final = 1000
# Share of the calls of a route that end in time if they start at the
# latest moment for their objective.
ON_TIME_SHARE: Final = 0.8
# The same for the deadline. A call with even odds of being cut off
# wastes its slot more often than not.
END_SHARE: Final = 0.5


def estimate_ticket(
    ticket: Ticket,
    times: RouteTimes,
    route: bytes,
    now: float,
    factor: float = 1.0,
) -> Ticket:
    """Return the ticket with its expected time and latest starts.

    ``ticket.start_by`` is the time by which the call has to end for its
    objective. Service times are multiplied by ``factor``, the current
    speed of the upstream's machine.
    """
    objective = (ticket.objective_ms / MS_PER_SECOND) or None
    is_measured = times.is_reliable(route, now)
    if objective is None:
        # Without an objective, waiting calls are served in turn.
        if not is_measured:
            return ticket
        needed = factor * times.quantile(route, END_SHARE, None)
        return replace(
            ticket,
            latest_start=ticket.deadline - needed,
            is_measured=True,
        )
    return replace(
        ticket,
        service_seconds=factor * times.estimate(route, objective),
        start_by=ticket.start_by
        - factor * times.quantile(route, ON_TIME_SHARE, objective),
        latest_start=ticket.deadline
        - factor * times.quantile(route, END_SHARE, objective),
        is_measured=is_measured,
    )
