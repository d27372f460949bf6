"""What a control instance knows of the release log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LedgerView:
    """Hold the committed positions and how recent they are.

    ``latest_position`` is the highest accepted release and
    ``active_position`` the highest activated one.  ``confirmed_at`` is
    the monotonic time at which the latest quorum confirmation of these
    positions began, or none.  ``recorded_floor`` is the data centre's
    durable floor, see ``StartFloor``.
    """

    latest_position: int
    active_position: int
    is_fresh: bool
    confirmed_at: float | None
    recorded_floor: int
