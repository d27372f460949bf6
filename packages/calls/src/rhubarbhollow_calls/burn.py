"""Service-level burn, counted per call and reported on request."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.burn_report import SubjectBurn, WindowBurn
from rhubarbhollow_calls.burn_series import BurnSeries
from rhubarbhollow_calls.burn_subject import BurnScope, BurnSubject
from rhubarbhollow_calls.burn_window import BurnWindow

if TYPE_CHECKING:
    from rhubarbhollow_calls.burn_objective import BurnObjective
    from rhubarbhollow_calls.burn_series import BurnCounts
    from rhubarbhollow_wire.clock import Clock

# of positions: the release in force and those before it
MAX_SUBJECTS: Final = {
    BurnScope.SERVICE: 64,
    BurnScope.ROUTE: 256,
    BurnScope.UPSTREAM: 128,
    BurnScope.POSITION: 8,
}


class BurnCounters:
    """Hold the counts of all subjects of this node.

    The caller keeps the series of a route, service, upstream and
    position and records into them, so that a call looks nothing up.
    Of each scope the subjects asked for longest ago are dropped first.
    """

    def __init__(self, objective: BurnObjective, clock: Clock) -> None:
        self._objective = objective
        self._clock = clock
        self._series: OrderedDict[BurnSubject, BurnSeries] = OrderedDict()

    def series(self, subject: BurnSubject) -> BurnSeries:
        """Return the counts of a subject, started if there are none."""
        known = self._series.get(subject)
        if known is not None:
            self._series.move_to_end(subject)
            return known
        self._make_room(subject.scope)
        series = BurnSeries(self._clock.monotonic())
        self._series[subject] = series
        return series

    def is_late(self, latency_seconds: float) -> bool:
        """Return whether an answer misses the latency objective."""
        return latency_seconds > self._objective.latency_seconds

    def report(self) -> tuple[SubjectBurn, ...]:
        """Return the burn of each subject."""
        now = self._clock.monotonic()
        return tuple(
            self._burn(subject, series, now)
            for subject, series in self._series.items()
        )

    def _make_room(self, scope: BurnScope) -> None:
        peers = [known for known in self._series if known.scope is scope]
        if len(peers) >= MAX_SUBJECTS[scope]:
            del self._series[peers[0]]

    def _burn(
        self, subject: BurnSubject, series: BurnSeries, now: float
    ) -> SubjectBurn:
        windows = tuple(
            self._window(window, series.counts(now, window.seconds))
            for window in BurnWindow
        )
        longest = windows[-1]
        return SubjectBurn(
            subject,
            windows,
            1 - longest.availability_burn,
            1 - longest.latency_burn,
        )

    def _window(self, window: BurnWindow, counts: BurnCounts) -> WindowBurn:
        answered = counts.calls - counts.failed
        return WindowBurn(
            window,
            counts,
            burn_rate(
                counts.failed, counts.calls, self._objective.availability
            ),
            burn_rate(counts.late, answered, self._objective.latency),
        )


def burn_rate(bad: int, total: int, target: float) -> float:
    """Return the share of bad calls over the share that is allowed."""
    if not total:
        return 0.0
    return bad / total / (1 - target)
