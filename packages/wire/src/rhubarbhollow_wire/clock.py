"""Clocks that are passed to time-dependent code."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class MonotonicClock(Protocol):
    """Provide seconds since an arbitrary point."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never decreases."""
        ...


class BootClock:
    """Read the clock that also counts the time of a suspended system.

    A lease must end while its holder is suspended.
    """

    def monotonic(self) -> float:
        """Return the seconds since the system was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Provide monotonic and calendar time.

    Time-dependent code takes a clock as an argument, so that tests can
    advance time explicitly and seeded runs are reproducible.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never decreases."""
        ...

    def utc(self) -> datetime:
        """Return the current time as an aware ``datetime`` in UTC."""
        ...


class SystemClock:
    """Read the operating system's clocks."""

    def monotonic(self) -> float:
        """Return seconds on the operating system's monotonic clock."""
        return time.monotonic()

    def utc(self) -> datetime:
        """Return the current time as an aware ``datetime`` in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Advance only on request, for tests and seeded runs."""

    def __init__(self, utc: datetime | None = None) -> None:
        self._monotonic_seconds = 0.0
        self._start = utc or datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the total number of seconds advanced."""
        return self._monotonic_seconds

    def utc(self) -> datetime:
        """Return the start time plus the total of seconds advanced."""
        return self._start + timedelta(seconds=self._monotonic_seconds)

    def advance(self, seconds: float) -> None:
        """Advance both times by ``seconds``, at least zero."""
        if seconds < 0:
            raise ValueError(
                f"cannot advance by {seconds} s: a monotonic clock does "
                "not go back"
            )
        self._monotonic_seconds += seconds
