"""A node's counts of calls for its error budget report."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.burn_series import BurnCounts, BurnSeries
from rhubarbhollow_calls.burn_window import BurnWindow
from rhubarbhollow_daemon.node_messages import BurnCount

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from rhubarbhollow_wire.clock import Clock

# Beyond this many series the least recently updated one is dropped.
MAX_SUBJECTS: Final = 256
# The threshold of services without a latency objective: no answer of
# theirs is late.
NO_OBJECTIVE_SECONDS: Final = float("inf")


@dataclass(frozen=True, slots=True)
class BurnKey:
    """Identify the service, route, upstream and position of a call.

    ``upstream`` is empty if the call reached none.
    """

    service: str
    route: str
    upstream: str
    position: int


@dataclass(frozen=True, slots=True)
class BurnSubject:
    """Identify one series: all calls of a service or a part of them.

    ``scope`` is "service", "route", "upstream" or "position"; ``name``
    is the name of that item.
    """

    scope: str
    service: str
    name: str


@dataclass(slots=True)
class _Tally:
    calls: int = 0
    failed: int = 0
    late: int = 0


class BurnRecorder:
    """Count calls and add the sums to ring buffers periodically.

    Counting a call costs one look-up and a few additions; ``flush``,
    once a second, adds the sums to the series of the service, route,
    upstream and position. Everything is kept in memory only: a restart
    loses this node's part of the windows.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late_after: Mapping[str, float] = {}
        self._tallies: dict[BurnKey, _Tally] = {}
        self._series: OrderedDict[BurnSubject, BurnSeries] = OrderedDict()

    def set_objectives(self, late_after: Mapping[str, float]) -> None:
        """Set the latency objectives, in seconds by service name."""
        self._late_after = late_after

    def count_answer(
        self,
        key: BurnKey,
        seconds: float,
        *,
        is_error: bool,
    ) -> None:
        """Count a complete answer that took ``seconds``.

        An error counts as failed only, never as late.
        """
        tally = self._tally(key)
        tally.calls += 1
        if is_error:
            tally.failed += 1
        elif seconds > self._late_after.get(key.service, NO_OBJECTIVE_SECONDS):
            tally.late += 1

    def count_failure(self, key: BurnKey) -> None:
        """Count a call that was refused or had its answer cut short."""
        tally = self._tally(key)
        tally.calls += 1
        tally.failed += 1

    def flush(self) -> None:
        """Add the counts since the last flush to the series."""
        now = self._clock.monotonic()
        tallies, self._tallies = self._tallies, {}
        for key, tally in tallies.items():
            counts = BurnCounts(tally.calls, tally.failed, tally.late)
            for subject in _subjects(key):
                self._find_series(subject, now).add(now, counts)

    def counts(self) -> tuple[BurnCount, ...]:
        """Flush, then return the counts of every subject and window."""
        self.flush()
        now = self._clock.monotonic()
        return tuple(
            _build_count(subject, window, series.counts(now, window.seconds))
            for subject, series in self._series.items()
            for window in BurnWindow
        )

    def _tally(self, key: BurnKey) -> _Tally:
        tally = self._tallies.get(key)
        if tally is None:
            tally = self._tallies[key] = _Tally()
        return tally

    def _find_series(self, subject: BurnSubject, now: float) -> BurnSeries:
        series = self._series.get(subject)
        if series is None:
            series = self._series[subject] = BurnSeries(now)
            if len(self._series) > MAX_SUBJECTS:
                self._series.popitem(last=False)
        self._series.move_to_end(subject)
        return series


def _subjects(key: BurnKey) -> Iterator[BurnSubject]:
    yield BurnSubject("service", key.service, key.service)
    yield BurnSubject("route", key.service, key.route)
    if key.upstream:
        yield BurnSubject("upstream", key.service, key.upstream)
    yield BurnSubject("position", key.service, str(key.position))


def _build_count(
    subject: BurnSubject,
    window: BurnWindow,
    counts: BurnCounts,
) -> BurnCount:
    return BurnCount(
        subject.scope,
        subject.service,
        subject.name,
        window.seconds,
        counts.calls,
        counts.failed,
        counts.late,
    )
