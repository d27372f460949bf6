"""Counts of good and bad calls in rings of time buckets."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import Final

# five minutes and one hour are read from fine buckets, six hours and
# three days from coarse ones
FINE_SECONDS: Final = 10
FINE_BUCKETS: Final = 360
COARSE_SECONDS: Final = 300
COARSE_BUCKETS: Final = 864
FINE_WINDOW_SECONDS: Final = FINE_SECONDS * FINE_BUCKETS


@dataclass(frozen=True, slots=True)
class BurnCounts:
    """Count calls, and those that failed or answered late."""

    calls: int
    failed: int
    late: int


class BurnSeries:
    """Count the calls of one subject.

    Windows end at the current bucket, which is part full, so that a
    window of N buckets covers between N - 1 and N bucket lengths.
    """

    __slots__ = ("_coarse", "_fine")

    def __init__(self, now: float) -> None:
        self._fine = _Ring(FINE_SECONDS, FINE_BUCKETS, now)
        self._coarse = _Ring(COARSE_SECONDS, COARSE_BUCKETS, now)

    def record(self, now: float, is_failed: bool, is_late: bool) -> None:
        """Count one call; a failed one is not counted as late."""
        self._fine.record(now, is_failed, is_late)
        self._coarse.record(now, is_failed, is_late)

    def add(self, now: float, counts: BurnCounts) -> None:
        """Count many calls that ended just before ``now``."""
        self._fine.add(now, counts)
        self._coarse.add(now, counts)

    def counts(self, now: float, window_seconds: int) -> BurnCounts:
        """Return the counts of the window that ends now."""
        is_fine = window_seconds <= FINE_WINDOW_SECONDS
        ring = self._fine if is_fine else self._coarse
        return ring.counts(now, window_seconds)


class _Ring:
    __slots__ = ("_at", "_buckets", "_calls", "_failed", "_late", "_seconds")

    def __init__(self, seconds: int, buckets: int, now: float) -> None:
        self._seconds = seconds
        self._buckets = buckets
        self._at = int(now / seconds)
        zeros = bytes(4 * buckets)
        self._calls = array("I", zeros)
        self._failed = array("I", zeros)
        self._late = array("I", zeros)

    def record(self, now: float, is_failed: bool, is_late: bool) -> None:
        at = int(now / self._seconds)
        if at != self._at:
            self._advance(at)
        index = self._at % self._buckets
        self._calls[index] += 1
        if is_failed:
            self._failed[index] += 1
        elif is_late:
            self._late[index] += 1

    def add(self, now: float, counts: BurnCounts) -> None:
        self._advance(int(now / self._seconds))
        index = self._at % self._buckets
        self._calls[index] += counts.calls
        self._failed[index] += counts.failed
        self._late[index] += counts.late

    def counts(self, now: float, window_seconds: int) -> BurnCounts:
        self._advance(int(now / self._seconds))
        length = min(self._buckets, max(1, window_seconds // self._seconds))
        indexes = [(self._at - age) % self._buckets for age in range(length)]
        return BurnCounts(
            sum(self._calls[index] for index in indexes),
            sum(self._failed[index] for index in indexes),
            sum(self._late[index] for index in indexes),
        )

    def _advance(self, at: int) -> None:
        # a gap longer than the ring clears each bucket once
        for step in range(min(max(0, at - self._at), self._buckets)):
            index = (at - step) % self._buckets
            self._calls[index] = 0
            self._failed[index] = 0
            self._late[index] = 0
        self._at = max(at, self._at)
