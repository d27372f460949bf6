"""A call's request for a slot of an upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhollow_admission.call_lane import CallLane

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class Ticket:
    """Request a slot before ``deadline``, in monotonic seconds.

    ``call_id`` is unique among the calls of one node. Lower values of
    ``tenant_priority``, ``priority`` and ``rank`` are served first, in
    this order. ``objective_ms`` is 0 for a route without an objective.
    ``service_seconds`` is the expected time in the slot, or 0 if it is
    unknown. A call that starts after ``start_by``, in monotonic
    seconds, is expected to miss its objective, and one that starts
    after ``latest_start`` its deadline. ``is_nested`` means that the
    call belongs to work that has begun elsewhere, and ``is_measured``
    that ``latest_start`` is known from recent calls.
    """

    priority: CallPriority
    deadline: float
    call_id: int
    rank: int = 0
    objective_ms: int = 0
    service_seconds: float = 0.0
    start_by: float = math.inf
    latest_start: float = math.inf
    tenant_priority: int = 0
    is_nested: bool = False
    is_measured: bool = False
    # The lane to wait in; lower is served first. It is read many times.
    lane: CallLane = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        lane = CallLane(
            self.tenant_priority,
            int(self.priority),
            self.rank,
            not self.is_nested,
            self.objective_ms,
        )
        object.__setattr__(self, "lane", lane)
