"""The queue for the slots of one upstream: order and rejection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Generic

from rhubarbhollow_admission.demand import Demand
from rhubarbhollow_admission.lane_queue import CallT, LaneQueue
from rhubarbhollow_admission.served_shares import ServedShares

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rhubarbhollow_admission.call_lane import CallLane

# After this wait a call counts as unserved, so that its lane is not
# starved by more urgent ones whose calls take all slots.
AGE_SECONDS: Final = 1.0
# Number of calls that may wait although they are expected to be late.
# They get slots that no other call can use in time; more of them would
# be held and then rejected.
MAX_LATE_WAITING: Final = 1
# The same for a lane that is served too seldom. More of them would
# still wait when the surge is over, and delay calls that are on time.
MAX_OWED_LATE: Final = 2

_LaneKey = tuple[bool, tuple[int, int, int], bool, float]


class CallQueue(Generic[CallT]):
    """Keep waiting calls in lanes, and decide which is served next.

    Calls that can still meet their objective are served first, by
    urgency; at equal urgency, work that has begun elsewhere comes
    first, then the lane with the shorter service time. A lane that is
    served too seldom (``ServedShares``) comes before all others.
    """

    __slots__ = (
        "_demand",
        "_evicted",
        "_lane_of",
        "_lanes",
        "_shares",
        "_was_owed",
    )

    def __init__(self) -> None:
        self._lanes: dict[CallLane, LaneQueue[CallT]] = {}
        self._lane_of: dict[int, CallLane] = {}
        self._shares = ServedShares()
        self._demand = Demand()
        self._was_owed = False
        # Calls that were removed since the last ``take_evicted``.
        self._evicted: list[CallT] = []

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._lane_of)

    def __contains__(self, call_id: int) -> bool:
        """Return whether the call waits."""
        return call_id in self._lane_of

    def __iter__(self) -> Iterator[CallT]:
        """Iterate over the waiting calls, most urgent lane first."""
        for lane in sorted(self._lanes):
            yield from self._lanes[lane]

    def record_arrival(self, call: CallT, now: float) -> None:
        """Count a call that asks for a slot, whatever it gets."""
        self._demand.record(call.lane, call.service_seconds, now)

    def record_start(self, call: CallT, now: float) -> None:
        """Count a call that got a slot."""
        self._shares.record(call.lane, now, is_served=True)

    def record_rejection(self, call: CallT, now: float) -> None:
        """Count a call that was rejected, at once or after a wait."""
        self._shares.record(call.lane, now, is_served=False)

    def expected_wait(
        self, call: CallT, slots: int, mean_seconds: float, now: float
    ) -> float:
        """Return the seconds until a slot is free for a new call.

        ``mean_seconds`` is the recent service time of all calls. More
        urgent calls that arrive meanwhile overtake the call, so it
        gets only the slots that they leave.
        """
        slots = max(1, slots)
        own = call.lane
        owed = self._owed(now)
        is_owed = own in owed
        key = (not is_owed, own.urgency, own.is_fresh, call.service_seconds)
        ahead = mean_seconds
        for lane, queue in self._lanes.items():
            if lane == own or _key(queue, owed) < key:
                ahead += queue.seconds
        if is_owed:
            return ahead / slots
        return ahead / slots / self._demand.share_left(own, slots, now)

    def may_wait(self, call: CallT, wait: float, now: float) -> bool:
        """Return whether a call that would wait ``wait`` may be queued.

        A late call may wait if rejecting it wastes begun work, if its
        lane is served too seldom, or if it takes no other call's slot.
        """
        if now + wait <= call.start_by or not call.lane.is_fresh:
            return True
        if len(self) < MAX_LATE_WAITING:
            return True
        if call.lane not in self._owed(now):
            return False
        queue = self._lanes.get(call.lane)
        return queue is None or len(queue) < MAX_OWED_LATE

    def is_owed(self, lane: CallLane, now: float) -> bool:
        """Return whether calls of the lane are served too seldom."""
        return lane in self._owed(now)

    def waiting_before(self, lane: CallLane) -> int:
        """Return how many calls of this or a more urgent lane wait."""
        urgency = lane.urgency
        return sum(
            len(queue)
            for other, queue in self._lanes.items()
            if other == lane or queue.urgency < urgency
        )

    def waiting_seconds(self, priority: int) -> float:
        """Return the queued service time of calls of a priority."""
        return sum(
            queue.seconds
            for lane, queue in self._lanes.items()
            if lane.priority == priority
        )

    def add(self, call: CallT, now: float) -> None:
        """Queue a call behind those of its lane."""
        lane = call.lane
        queue = self._lanes.get(lane)
        if queue is None:
            queue = self._lanes[lane] = LaneQueue(lane)
        queue.add(call, now)
        self._lane_of[call.call_id] = lane

    def remove(self, call_id: int) -> bool:
        """Remove a call; return whether it waited."""
        lane = self._lane_of.pop(call_id, None)
        if lane is None:
            return False
        queue = self._lanes[lane]
        queue.remove(call_id)
        if not queue:
            del self._lanes[lane]
        return True

    def evict_for(self, call: CallT) -> bool:
        """Remove the last call of the least urgent lane.

        Return false if no waiting call is less urgent than ``call``.
        """
        last = max(
            self._lanes.values(), key=lambda one: one.urgency, default=None
        )
        if last is None or last.urgency <= call.lane.urgency:
            return False
        self._evict(next(reversed(last.calls.values())))
        return True

    def evict_late(
        self, call: CallT, slots: int, mean_seconds: float, now: float
    ) -> None:
        """Remove calls that the queued ``call`` has made late.

        They are rejected now rather than when their turn comes.
        """
        slots = max(1, slots)
        owed = self._owed(now)
        own = _key(self._lanes[call.lane], owed)
        ahead = mean_seconds
        late = []
        for queue in self._ordered(owed):
            lane = queue.lane
            is_behind = _key(queue, owed) > own
            if not is_behind or not lane.is_fresh or lane in owed:
                ahead += queue.seconds
                continue
            for one in queue:
                if now + ahead / slots > one.start_by:
                    late.append(one)
                else:
                    ahead += one.service_seconds
        for one in late:
            self._evict(one)

    def pop_next(self, now: float) -> CallT | None:
        """Remove and return the call to serve now, if any.

        Calls that can no longer end before their deadline are evicted,
        and so are those that would be late while another call can
        still be on time. If only such calls wait, one of them gets the
        slot, which would be idle otherwise.
        """
        owed = self._owed(now)
        # Only every second slot goes to a lane because it is owed one,
        # so that a surge of its calls does not delay all others.
        order = frozenset() if self._was_owed else owed
        on_time: list[CallT] = []
        late: list[CallT] = []
        unlikely: list[CallT] = []
        hopeless: list[CallT] = []
        for queue in self._ordered(order):
            accepts_late = queue.lane in owed or not queue.lane.is_fresh
            for call in queue:
                if now > call.latest_start or now >= call.deadline:
                    is_sure = call.is_measured or now >= call.deadline
                    (hopeless if is_sure else unlikely).append(call)
                elif accepts_late or now <= call.start_by:
                    on_time.append(call)
                else:
                    late.append(call)
        groups = [group for group in (on_time, late, unlikely) if group]
        chosen = groups[0][0] if groups else None
        if chosen is not None:
            self._was_owed = chosen.lane in order
            self.remove(chosen.call_id)
        for group in (hopeless, *groups[1:]):
            for call in group:
                self._evict(call)
        return chosen

    def take_evicted(self) -> tuple[CallT, ...]:
        """Return and clear the calls removed as unservable."""
        evicted = tuple(self._evicted)
        self._evicted.clear()
        return evicted

    def clear(self) -> tuple[CallT, ...]:
        """Empty the queue; return the calls that were in it."""
        waiting = tuple(self)
        self._lanes.clear()
        self._lane_of.clear()
        return waiting

    def _ordered(self, owed: frozenset[CallLane]) -> list[LaneQueue[CallT]]:
        """Return the lanes in the order in which they are served."""
        return sorted(
            self._lanes.values(), key=lambda one: (_key(one, owed), one.lane)
        )

    def _owed(self, now: float) -> frozenset[CallLane]:
        shares = self._shares
        if shares.is_refresh_due(now):
            moment = now - AGE_SECONDS
            aged = {
                lane: count
                for lane, queue in self._lanes.items()
                if (count := queue.count_queued_before(moment))
            }
            shares.refresh(aged, now)
        return shares.owed

    def _evict(self, call: CallT) -> None:
        self.remove(call.call_id)
        self._evicted.append(call)


def _key(queue: LaneQueue[CallT], owed: frozenset[CallLane]) -> _LaneKey:
    lane = queue.lane
    return (lane not in owed, queue.urgency, lane.is_fresh, queue.head_seconds)
