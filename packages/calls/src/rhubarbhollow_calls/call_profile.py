"""The properties of a call that decide which upstream gets it."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class CallProfile:
    """Describe a call for the choice of an upstream.

    ``objective_seconds`` is the latency objective of the route, and
    ``remaining_seconds`` the time that remains of it.
    """

    route: str
    objective_seconds: float
    remaining_seconds: float
    priority: CallPriority = CallPriority.INTERACTIVE
