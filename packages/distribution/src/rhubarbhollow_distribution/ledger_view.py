"""A control instance's view of the release log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LedgerView:
    """Hold the committed positions and the time of their confirmation.

    ``latest_position`` is the position of the latest accepted release
    and ``active_position`` that of the latest activated one.
    ``confirmed_at`` is the monotonic time at which the latest quorum
    confirmation of these positions began, or ``None`` without one.
    ``recorded_floor`` is the data centre's durable floor, see
    ``StartFloor``.
    """

    latest_position: int
    active_position: int
    is_fresh: bool
    confirmed_at: float | None
    recorded_floor: int
