"""A call's request for a slot of an upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority

Lane: TypeAlias = tuple[int, int, int, int]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Request a slot before ``deadline``, in monotonic seconds.

    ``call_id`` is unique among the calls of one node. Within a priority
    the lower ``tenant_priority`` is served first, within that the lower
    ``rank``, and within a rank the lower ``objective_ms``, which is 0
    for a route without an objective. ``tenant_priority`` is 0 for a
    call without a tenant.
    ``service_seconds`` is the expected time in the slot, or 0 if it is
    unknown. A call that starts after ``start_by``, in monotonic
    seconds, is expected to miss its objective, or its deadline if it is
    interactive.
    """

    priority: CallPriority
    deadline: float
    call_id: int
    rank: int = 0
    objective_ms: int = 0
    service_seconds: float = 0.0
    start_by: float = math.inf
    tenant_priority: int = 0

    @property
    def lane(self) -> Lane:
        """Return the lane to wait in; lower is served first."""
        return (
            int(self.priority),
            self.tenant_priority,
            self.rank,
            self.objective_ms,
        )

    @property
    def cost(self) -> float:
        """Return the service time in seconds, or 1.0 if unknown."""
        return self.service_seconds or 1.0
