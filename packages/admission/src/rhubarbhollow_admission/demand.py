"""The slot time that each lane asks for, over recent seconds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_admission.call_lane import CallLane

# Time over which the demand is averaged: a few times the wait that it
# is used to predict.
WINDOW_SECONDS: Final = 1.0
# Share of the slots that a call is expected to get at least, since
# lanes that are served too seldom are put first.
MIN_SHARE: Final = 0.25


class Demand:
    """Average the work that arrives per second, by lane."""

    __slots__ = ("_by_lane",)

    def __init__(self) -> None:
        # By lane: work per second, and when it was last updated.
        self._by_lane: dict[CallLane, tuple[float, float]] = {}

    def record(self, lane: CallLane, seconds: float, now: float) -> None:
        """Add a call that takes ``seconds`` of a slot."""
        rate, at = self._by_lane.get(lane, (0.0, now))
        decayed = rate * math.exp((at - now) / WINDOW_SECONDS)
        self._by_lane[lane] = (decayed + seconds / WINDOW_SECONDS, now)

    def share_left(self, lane: CallLane, slots: int, now: float) -> float:
        """Return the share of the slots left by more urgent lanes."""
        urgency = lane.urgency
        taken = 0.0
        for other, (rate, at) in self._by_lane.items():
            if other.urgency < urgency:
                taken += rate * math.exp((at - now) / WINDOW_SECONDS)
        return max(MIN_SHARE, 1 - taken / slots)
