"""The clock that every decision is given."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tell elapsed and calendar time.

    Decisions take a clock as an argument, so that tests can move time
    by hand and a run with a seed repeats exactly.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""
        ...

    def utc(self) -> datetime:
        """Return the calendar time with the UTC zone attached."""
        ...


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on the operating system's monotonic clock."""
        return time.monotonic()

    def utc(self) -> datetime:
        """Return the current calendar time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Stand still until it is moved, for tests and seeded runs."""

    def __init__(self, utc: datetime | None = None) -> None:
        self._monotonic_seconds = 0.0
        self._start = utc or datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the seconds by which the clock was moved."""
        return self._monotonic_seconds

    def utc(self) -> datetime:
        """Return the start time moved by the same seconds."""
        return self._start + timedelta(seconds=self._monotonic_seconds)

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds``, at least zero."""
        if seconds < 0:
            raise ValueError("a monotonic clock does not go back")
        self._monotonic_seconds += seconds
