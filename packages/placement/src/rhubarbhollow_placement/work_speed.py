"""The current speed of an upstream's machine."""

from __future__ import annotations

from typing import Final

# Upstreams share their machines with other work, which comes and goes
# within about this time. A value of that age says nothing any more.
SPEED_HOLD_SECONDS: Final = 0.8
USUAL_PERCENT: Final = 100
# Bounds the effect of a single value that an upstream reports.
MIN_FACTOR: Final = 0.2
MAX_FACTOR: Final = 8.0
MAX_DIGITS: Final = 6
_PARTS: Final = 4


class WorkSpeed:
    """Hold the last value reported; it counts less as it ages."""

    __slots__ = ("_at", "_percent")

    def __init__(self) -> None:
        self._percent = 0
        self._at = 0.0

    @property
    def percent(self) -> int:
        """Return the last value, or 0 if there is none."""
        return self._percent

    @property
    def observed_at(self) -> float:
        """Return when the last value was reported."""
        return self._at

    @property
    def is_known(self) -> bool:
        """Return whether the upstream reports its speed at all."""
        return self._percent > 0

    def observe(self, percent: int, now: float) -> None:
        """Record a value; 0 is ignored."""
        if percent > 0:
            self._percent = percent
            self._at = now

    def factor(self, now: float) -> float:
        """Return how many times as long as usual work takes now."""
        if not self._percent:
            return 1.0
        weight = max(0.0, 1 - (now - self._at) / SPEED_HOLD_SECONDS)
        reported = self._percent / USUAL_PERCENT
        bounded = min(max(reported, MIN_FACTOR), MAX_FACTOR)
        return 1 + (bounded - 1) * weight


def parse_work_percent(value: bytes) -> int:
    """Return the fourth figure of a load field, or 0 without one.

    The field holds the calls that run and wait, the slots, and how long
    work takes in percent of the usual. It is a hint, so a value that
    can't be read is ignored.
    """
    parts = value.split(b",")
    if len(parts) != _PARTS:
        return 0
    text = parts[-1].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else 0
