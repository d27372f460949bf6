"""The waiting calls of one lane."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

from rhubarbhollow_admission.call_lane import CallLane, WaitingCall

if TYPE_CHECKING:
    from collections.abc import Iterator

CallT = TypeVar("CallT", bound=WaitingCall)


class LaneQueue(Generic[CallT]):
    """Keep calls by arrival, with their total service time."""

    __slots__ = ("calls", "lane", "queued_at", "seconds", "urgency")

    def __init__(self, lane: CallLane) -> None:
        self.lane = lane
        self.urgency = lane.urgency
        self.calls: OrderedDict[int, CallT] = OrderedDict()
        self.queued_at: dict[int, float] = {}
        self.seconds = 0.0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self.calls)

    def __iter__(self) -> Iterator[CallT]:
        """Iterate over the calls by arrival."""
        return iter(self.calls.values())

    @property
    def head_seconds(self) -> float:
        """Return the service time of the first call."""
        return next(iter(self.calls.values())).service_seconds

    def add(self, call: CallT, now: float) -> None:
        """Queue a call behind the others."""
        self.calls[call.call_id] = call
        self.queued_at[call.call_id] = now
        self.seconds += call.service_seconds

    def remove(self, call_id: int) -> None:
        """Remove a call that waits."""
        call = self.calls.pop(call_id)
        del self.queued_at[call_id]
        self.seconds -= call.service_seconds

    def count_queued_before(self, moment: float) -> int:
        """Return how many calls have waited since ``moment``."""
        count = 0
        for queued_at in self.queued_at.values():
            if queued_at > moment:
                break
            count += 1
        return count
