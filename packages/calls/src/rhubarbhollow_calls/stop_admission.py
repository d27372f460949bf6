"""Whether a call can end before its node stops.

The load that this answers: callers that keep coming while a node stops.
A call that is passed on and then cut has cost its upstream work, and
its caller cannot tell whether it has run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_calls.deadline import Deadline

# Multiple of its latency objective within which a call is expected to
# end. Operators set objectives at about three times the service time.
OBJECTIVE_MARGIN: Final = 1.5
# Time for the response of an upstream that has reached its deadline to
# pass two nodes. It covers the delay of a refusal after an attempt with
# an unknown outcome.
RESPONSE_SECONDS: Final = 0.2


def can_end_before_stop(
    left_seconds: float,
    allowed_seconds: float,
    objective_seconds: float | None,
) -> bool:
    """Return whether a new call is expected to end before the stop.

    ``left_seconds`` is the time until the stop, and ``allowed_seconds``
    that until the call's deadline. Without a latency objective the call
    may take all of the latter.
    """
    needed = allowed_seconds
    if objective_seconds is not None:
        needed = min(needed, OBJECTIVE_MARGIN * objective_seconds)
    return needed <= left_seconds - RESPONSE_SECONDS


def bound_by_stop(deadline: Deadline, stops_at: float) -> Deadline:
    """Return the deadline, early enough for a response by the stop."""
    latest = stops_at - RESPONSE_SECONDS
    if deadline.expires_at <= latest:
        return deadline
    return type(deadline)(latest)
