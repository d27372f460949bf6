"""Settings of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Hold the durations of the steps of a graceful shutdown.

    For ``hold`` the upstream keeps serving while its callers leave.
    Then ``spread`` is the time until its withdrawal has reached all
    nodes, so that none routes new calls here.  With
    ``is_spread_cut_short`` that step ends as soon as the upstream runs
    no call; nodes that still send calls get them refused as not run.
    Calls in flight then have ``budget`` to finish, and what is left of
    the spread.
    """

    hold: timedelta = timedelta()
    spread: timedelta = timedelta(milliseconds=2000)
    budget: timedelta = timedelta(milliseconds=30_000)
    is_spread_cut_short: bool = False
