"""The distribution of the service times of calls, by route."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

# Weight of a new sample in the moving average. The last ten calls make
# up most of the average.
CALL_WEIGHT: Final = 0.1
# A sample counts at most this many times the average in the average,
# so that one of the few calls that take many times as long does not
# raise the estimate of the next ten. A lasting slowdown by a factor of
# 5 is still learned from nine calls.
MAX_STEP_FACTOR: Final = 3.0
# Share of the latency objective that a call is expected to take while
# no call of its route has been measured. Operators set objectives at
# about three times the service time.
UNMEASURED_ROUTE_SHARE: Final = 0.35
# Expected seconds if the route has no objective either.
DEFAULT_SERVICE_SECONDS: Final = 0.1
# Number of samples that make up the distribution, and the number below
# which ``DEFAULT_MARGIN`` is used.
WINDOW: Final = 32
MIN_SAMPLES: Final = 8
# Multiple of the average that four in five calls do not exceed, for a
# route with few samples.
DEFAULT_MARGIN: Final = 1.25
# After this time without a sample an estimate is no longer a reason to
# reject a call: a slow upstream may have recovered, and only a call
# shows it.
STALE_SECONDS: Final = 1.0
# Beyond this number all routes are discarded at once, so that routes no
# longer in use do not accumulate.
MAX_ROUTES: Final = 4_096


class _Times:
    __slots__ = ("at", "average", "ranked", "ratios")

    def __init__(self, average: float) -> None:
        self.average = average
        self.at = 0.0
        # Samples as multiples of the average at their time, so that
        # the shape of the distribution survives a change of speed.
        self.ratios: deque[float] = deque()
        self.ranked: list[float] = []


class RouteTimes:
    """Keep the average and the quantiles of slot time by route."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[bytes, _Times] = {}

    def averages(self) -> Iterator[tuple[bytes, float]]:
        """Yield all routes with their averages in seconds."""
        for route, times in self._by_route.items():
            yield route, times.average

    def estimate(self, route: bytes, objective_seconds: float | None) -> float:
        """Return the seconds that the next call is expected to take."""
        times = self._by_route.get(route)
        if times is not None:
            return times.average
        if objective_seconds is None:
            return DEFAULT_SERVICE_SECONDS
        return objective_seconds * UNMEASURED_ROUTE_SHARE

    def quantile(
        self, route: bytes, share: float, objective_seconds: float | None
    ) -> float:
        """Return the time that a ``share`` of calls stays within."""
        times = self._by_route.get(route)
        if times is None or len(times.ranked) < MIN_SAMPLES:
            average = self.estimate(route, objective_seconds)
            return average * (DEFAULT_MARGIN if share > 1 / 2 else 1.0)
        index = min(len(times.ranked) - 1, int(share * len(times.ranked)))
        return times.average * times.ranked[index]

    def is_reliable(self, route: bytes, now: float) -> bool:
        """Return whether the times are a reason to reject a call.

        They are if many calls were measured, the last one just now.
        """
        times = self._by_route.get(route)
        if times is None or len(times.ranked) < MIN_SAMPLES:
            return False
        return now - times.at <= STALE_SECONDS

    def record(self, route: bytes, seconds: float, now: float = 0.0) -> None:
        """Add the service time of a call that was answered."""
        times = self._by_route.get(route)
        if times is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            times = self._by_route[route] = _Times(seconds)
            times.at = now
            return
        times.at = now
        average = times.average
        if average > 0:
            self._add_ratio(times, seconds / average)
        step = min(seconds, MAX_STEP_FACTOR * average) if average else seconds
        times.average += CALL_WEIGHT * (step - average)

    def record_cut(self, route: bytes, seconds: float, now: float) -> None:
        """Add a call that was cut off after ``seconds``.

        It would have taken longer. Unless that is more than expected,
        nothing is learned.
        """
        times = self._by_route.get(route)
        if times is None or seconds > times.average:
            self.record(route, seconds, now)

    def _add_ratio(self, times: _Times, ratio: float) -> None:
        if len(times.ratios) >= WINDOW:
            oldest = times.ratios.popleft()
            del times.ranked[bisect_left(times.ranked, oldest)]
        times.ratios.append(ratio)
        insort(times.ranked, ratio)
