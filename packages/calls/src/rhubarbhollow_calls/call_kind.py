"""What the choice of an upstream needs to know of a call."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class CallKind:
    """Name a call's route and class, its objective and what is left."""

    route: str
    objective_seconds: float
    left_seconds: float
    priority: CallPriority = CallPriority.INTERACTIVE
