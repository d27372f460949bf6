"""The service time and time limit by which a call is placed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class PlacementNeeds:
    """Hold a call's expected service time and its remaining time.

    ``service_seconds`` is the average time that calls of its route
    occupy a slot. ``remaining_seconds`` is the time that remains of the
    latency objective.
    """

    service_seconds: float
    remaining_seconds: float
    priority: CallPriority
    route: str = ""
