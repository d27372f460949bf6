"""What the choice of an upstream goes by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class PlacingNeeds:
    """Say what a call takes, and how long it can wait.

    ``service_seconds`` is what it takes on average in a slot, and
    ``left_seconds`` in what time it has to end.
    """

    service_seconds: float
    left_seconds: float
    priority: CallPriority
