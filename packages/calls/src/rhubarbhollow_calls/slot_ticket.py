"""A call's request for a slot."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority

Lane: TypeAlias = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for a slot until ``deadline``, in monotonic seconds.

    ``call_id`` is unique among the calls of one node.  Within a
    priority the lower ``rank`` goes first, and within a rank the route
    with the shorter ``objective_ms``, 0 for none.  ``service_seconds``
    is the expected time in the slot, 0 if nobody knows.  From
    ``start_by`` on the answer would miss its objective.
    """

    priority: CallPriority
    deadline: float
    call_id: int
    rank: int = 0
    objective_ms: int = 0
    service_seconds: float = 0.0
    start_by: float = math.inf

    @property
    def lane(self) -> Lane:
        """Return the queue that the ticket waits in; lower is first."""
        return (int(self.priority), self.rank, self.objective_ms)

    @property
    def cost(self) -> float:
        """Return the service time, or one for each call if unknown."""
        return self.service_seconds or 1.0
