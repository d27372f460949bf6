"""How often the calls of each lane are served, over recent seconds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_admission.call_lane import CallLane

# Time in which a recorded call loses all but 37 % of its weight. It is
# as long as a surge, so that a lane rejected at its beginning is
# compensated within it, and not long after it. With 8 s, the calls of
# the second after the first second of calm earned 0.72 to 0.78 of their
# value in the trial of a hot tenant, with 4 s 0.83.
DECAY_SECONDS: Final = 4.0
# A lane is owed service below this share of the share served of all.
# The requirement is a quarter; the rest covers the delay of the
# measurement.
FLOOR_SHARE: Final = 0.33
# A lane is also owed service if a less urgent one is served more often
# by more than this. The requirement is 0.05.
INVERSION_MARGIN: Final = 0.02
# Calls of a lane, after decay, below which its share is not judged.
MIN_CALLS: Final = 3.0
# Time for which the lanes that are owed service are not determined
# anew; a few calls end in it.
REFRESH_SECONDS: Final = 0.02
# The counts are rescaled before their weight exceeds the range in which
# floats add exactly enough.
_MAX_AGE: Final = 30.0

_Urgency = tuple[int, ...]


class _Counts:
    __slots__ = ("decided", "served")

    def __init__(self) -> None:
        self.decided = 0.0
        self.served = 0.0

    @property
    def share(self) -> float:
        return self.served / self.decided if self.decided else 0.0

    def add(self, other: _Counts) -> None:
        self.decided += other.decided
        self.served += other.served


_NONE: Final = _Counts()


class ServedShares:
    """Count decisions on calls by lane, with exponential decay.

    Instead of decaying all counts, later calls get a higher weight.
    """

    __slots__ = ("_by_lane", "_epoch", "_owed", "_owed_until", "_total")

    def __init__(self) -> None:
        self._by_lane: dict[CallLane, _Counts] = {}
        self._total = _Counts()
        self._epoch = 0.0
        self._owed: frozenset[CallLane] = frozenset()
        self._owed_until = -math.inf

    def record(self, lane: CallLane, now: float, *, is_served: bool) -> None:
        """Count a call that got a slot, or was rejected.

        A call that waits is not counted, so that the lanes of calls
        that may wait long do not seem to be served seldom.
        """
        weight = self._weight(now)
        counts = self._by_lane.get(lane)
        if counts is None:
            counts = self._by_lane[lane] = _Counts()
        for one in (counts, self._total):
            one.decided += weight
            if is_served:
                one.served += weight

    @property
    def owed(self) -> frozenset[CallLane]:
        """Return the lanes whose calls are served too seldom.

        A lane is, if it is served much less often than all, or less
        often than a less urgent one. So are the lanes of a route that
        is served less often, over all tenants, than a less urgent
        route.
        """
        return self._owed

    def is_refresh_due(self, now: float) -> bool:
        """Return whether ``owed`` should be determined anew."""
        return now >= self._owed_until

    def refresh(self, aged: Mapping[CallLane, int], now: float) -> None:
        """Determine ``owed`` anew.

        ``aged`` counts calls that have waited long, by lane. They are
        unserved as much as rejected ones.
        """
        self._owed_until = now + REFRESH_SECONDS
        weight = self._weight(now)
        least = MIN_CALLS * weight
        lanes = [
            (lane, counts)
            for lane, counts in self._by_lane.items()
            if counts.decided >= least
        ]
        routes: dict[_Urgency, _Counts] = {}
        for lane, counts in lanes:
            routes.setdefault(lane.route_urgency, _Counts()).add(counts)
        late_lanes = _find_inverted((k.urgency, c) for k, c in lanes)
        late_routes = _find_inverted(routes.items())
        owed = {
            lane
            for lane, _ in lanes
            if lane.urgency in late_lanes or lane.route_urgency in late_routes
        }
        total = self._total
        floor = FLOOR_SHARE * total.served / max(total.decided, weight)
        for lane, count in aged.items():
            known = self._by_lane.get(lane, _NONE)
            if known.served < floor * (known.decided + count * weight):
                owed.add(lane)
        owed.update(
            lane for lane, one in lanes if one.served < floor * one.decided
        )
        self._owed = frozenset(owed)

    def _weight(self, now: float) -> float:
        age = (now - self._epoch) / DECAY_SECONDS
        if age > _MAX_AGE:
            self._rescale(now, age)
            age = 0.0
        return math.exp(age)

    def _rescale(self, now: float, age: float) -> None:
        factor = math.exp(-age)
        for counts in (*self._by_lane.values(), self._total):
            counts.decided *= factor
            counts.served *= factor
        # Lanes without recent calls would accumulate.
        self._by_lane = {
            lane: counts
            for lane, counts in self._by_lane.items()
            if counts.decided > factor
        }
        self._epoch = now


def _find_inverted(
    counts: Iterable[tuple[_Urgency, _Counts]],
) -> set[_Urgency]:
    """Return what is served less often than something less urgent."""
    inverted = set()
    # The highest share of anything less urgent than the next group.
    highest, group_highest = 0.0, 0.0
    last: _Urgency | None = None
    for urgency, one in sorted(counts, key=lambda pair: pair[0], reverse=True):
        if urgency != last:
            highest, last = max(highest, group_highest), urgency
        group_highest = max(group_highest, one.share)
        if one.share + INVERSION_MARGIN < highest:
            inverted.add(urgency)
    return inverted
