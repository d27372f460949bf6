"""How long calls of a route take in a slot."""

from __future__ import annotations

from typing import Final

# the weight of one more call; ten calls make up most of the average
CALL_WEIGHT: Final = 0.1
# calls of a route differ: four in five take no more than this many
# times the average
SERVICE_MARGIN: Final = 1.25
# share of the latency objective that a call is taken to need before
# any of its route was seen; operators set objectives at about thrice
# the work
UNKNOWN_SHARE: Final = 0.35
# where a route has no objective either
DEFAULT_SECONDS: Final = 0.1
# routes of the past are forgotten all at once beyond this
MAX_ROUTES: Final = 4_096


class ServiceTimes:
    """Average the time in a slot by route, with recent calls first."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[bytes, float] = {}

    def known(self, route: bytes) -> float | None:
        """Return the average of a route, if one of its calls ended."""
        return self._by_route.get(route)

    def expect(self, route: bytes, objective_seconds: float | None) -> float:
        """Return the seconds that the next call will take."""
        known = self._by_route.get(route)
        if known is not None:
            return known
        if objective_seconds is None:
            return DEFAULT_SECONDS
        return objective_seconds * UNKNOWN_SHARE

    def note(self, route: bytes, seconds: float) -> None:
        """Take one call's time into the average."""
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            self._by_route[route] = seconds
            return
        self._by_route[route] = known + CALL_WEIGHT * (seconds - known)
