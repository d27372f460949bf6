"""Moving averages of the service times of calls, by route."""

from __future__ import annotations

from typing import Final

# Weight of a new sample in the moving average. The last ten calls make
# up most of the average.
CALL_WEIGHT: Final = 0.1
# Factor on the average that covers the variation between calls of a
# route: four in five take no more than this many times the average.
SERVICE_MARGIN: Final = 1.25
# Share of the latency objective that a call is expected to take while
# no call of its route has been measured. Operators set objectives at
# about three times the service time.
UNMEASURED_ROUTE_SHARE: Final = 0.35
# Expected seconds if the route has no objective either.
DEFAULT_SERVICE_SECONDS: Final = 0.1
# Beyond this number all averages are discarded at once, so that routes
# no longer in use do not accumulate.
MAX_ROUTES: Final = 4_096


class ServiceTimes:
    """Keep an exponential moving average of slot time by route."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[bytes, float] = {}

    def average(self, route: bytes) -> float | None:
        """Return the average in seconds, or ``None`` if unmeasured."""
        return self._by_route.get(route)

    def estimate(self, route: bytes, objective_seconds: float | None) -> float:
        """Return the seconds that the next call is expected to take."""
        average = self._by_route.get(route)
        if average is not None:
            return average
        if objective_seconds is None:
            return DEFAULT_SERVICE_SECONDS
        return objective_seconds * UNMEASURED_ROUTE_SHARE

    def record(self, route: bytes, seconds: float) -> None:
        """Add one call's service time to the average."""
        average = self._by_route.get(route)
        if average is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            self._by_route[route] = seconds
            return
        self._by_route[route] = average + CALL_WEIGHT * (seconds - average)
