"""Measurement of a tenant's demand."""

from __future__ import annotations

import math
from typing import Final

# Long enough that a tenant of a few requests per second keeps a demand
# between two of them, short enough to follow clients that move.
WINDOW_SECONDS: Final = 1.0
# Shortest time over which the first requests are averaged, so that a
# single request does not look like ten per second.
_MIN_AGE_SECONDS: Final = 0.5
_NEGLIGIBLE: Final = 0.05
# Demand has ended once this many arrivals are missing, by chance in one
# case of twenty. It keeps its share for the shortest silence at least.
_MISSING_ARRIVALS: Final = 3.0
_MIN_SILENCE_SECONDS: Final = 0.4


class DemandMeter:
    """Average arrivals per second, with exponentially falling weight.

    The average is corrected for the time since the first arrival, so
    that new demand shows at once.
    """

    __slots__ = ("_at", "_last", "_since", "_weight")

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = 0.0
        self._since = 0.0
        self._last = 0.0

    def record(self, now: float) -> None:
        """Record one arrival."""
        self._decay(now)
        if self._weight < _NEGLIGIBLE:
            self._weight = 0.0
            self._since = now
        self._weight += 1.0
        self._last = now

    def rate(self, now: float) -> float:
        """Return arrivals per second; zero once they have ended."""
        self._decay(now)
        if self._weight < _NEGLIGIBLE:
            return 0.0
        age = max(_MIN_AGE_SECONDS, now - self._since)
        covered = 1.0 - math.exp(-age / WINDOW_SECONDS)
        # The first arrival says nothing of a pace: corrected as well,
        # the sum over many nodes would exceed the demand several times.
        first = min(1.0, self._weight)
        rate = (first + (self._weight - first) / covered) / WINDOW_SECONDS
        silence = now - self._last
        if silence > _MIN_SILENCE_SECONDS:
            before = rate * math.exp(silence / WINDOW_SECONDS)
            if before * silence > _MISSING_ARRIVALS:
                return 0.0
        return rate

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._weight *= math.exp((self._at - now) / WINDOW_SECONDS)
            self._at = now
