"""Call counts over sliding windows, kept in rings of time buckets."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from typing import Final

# The windows of five minutes and one hour are read from the fine
# buckets, those of six hours and three days from the coarse ones.
FINE_SECONDS: Final = 10
FINE_BUCKETS: Final = 360
COARSE_SECONDS: Final = 300
COARSE_BUCKETS: Final = 864
FINE_WINDOW_SECONDS: Final = FINE_SECONDS * FINE_BUCKETS


@dataclass(frozen=True, slots=True)
class BurnCounts:
    """Number of calls, and of those that failed or were late.

    A late call got a response, but missed the latency objective.
    """

    calls: int
    failed: int
    late: int


class BurnSeries:
    """Call counts of one monitored subject over sliding windows.

    A window ends with the current bucket, which is still being filled,
    so a window of N buckets covers between N - 1 and N bucket lengths.
    """

    __slots__ = ("_coarse", "_fine")

    def __init__(self, now: float) -> None:
        self._fine = _Ring(FINE_SECONDS, FINE_BUCKETS, now)
        self._coarse = _Ring(COARSE_SECONDS, COARSE_BUCKETS, now)

    def record(self, now: float, is_failed: bool, is_late: bool) -> None:
        """Count one call; a failed call is not also counted as late."""
        self._fine.record(now, is_failed, is_late)
        self._coarse.record(now, is_failed, is_late)

    def add(self, now: float, counts: BurnCounts) -> None:
        """Count a batch of calls that ended just before ``now``."""
        self._fine.add(now, counts)
        self._coarse.add(now, counts)

    def counts(self, now: float, window_seconds: int) -> BurnCounts:
        """Return the counts of the window that ends at ``now``."""
        is_fine = window_seconds <= FINE_WINDOW_SECONDS
        ring = self._fine if is_fine else self._coarse
        return ring.counts(now, window_seconds)


class _Ring:
    """Ring of buckets that each count the calls of a time interval.

    Buckets are numbered from time 0; bucket ``n`` is stored at index
    ``n`` modulo the number of buckets.
    """

    __slots__ = (
        "_bucket_number",
        "_buckets",
        "_calls",
        "_failed",
        "_late",
        "_seconds",
    )

    def __init__(self, seconds: int, buckets: int, now: float) -> None:
        self._seconds = seconds
        self._buckets = buckets
        self._bucket_number = int(now / seconds)
        zeros = bytes(4 * buckets)
        self._calls = array("I", zeros)
        self._failed = array("I", zeros)
        self._late = array("I", zeros)

    def record(self, now: float, is_failed: bool, is_late: bool) -> None:
        bucket_number = int(now / self._seconds)
        if bucket_number != self._bucket_number:
            self._advance(bucket_number)
        index = self._bucket_number % self._buckets
        self._calls[index] += 1
        if is_failed:
            self._failed[index] += 1
        elif is_late:
            self._late[index] += 1

    def add(self, now: float, counts: BurnCounts) -> None:
        self._advance(int(now / self._seconds))
        index = self._bucket_number % self._buckets
        self._calls[index] += counts.calls
        self._failed[index] += counts.failed
        self._late[index] += counts.late

    def counts(self, now: float, window_seconds: int) -> BurnCounts:
        self._advance(int(now / self._seconds))
        length = min(self._buckets, max(1, window_seconds // self._seconds))
        indexes = [
            (self._bucket_number - age) % self._buckets
            for age in range(length)
        ]
        return BurnCounts(
            sum(self._calls[index] for index in indexes),
            sum(self._failed[index] for index in indexes),
            sum(self._late[index] for index in indexes),
        )

    def _advance(self, bucket_number: int) -> None:
        # After a gap longer than the ring, each bucket is cleared once.
        for step in range(
            min(max(0, bucket_number - self._bucket_number), self._buckets)
        ):
            index = (bucket_number - step) % self._buckets
            self._calls[index] = 0
            self._failed[index] = 0
            self._late[index] = 0
        self._bucket_number = max(bucket_number, self._bucket_number)
