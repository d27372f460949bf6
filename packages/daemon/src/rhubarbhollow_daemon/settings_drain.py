"""Settings of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Bound the steps of a graceful shutdown.

    For ``hold`` the upstream goes on serving while callers leave.
    After ``spread`` more no node routes new work here any more; where
    ``is_spread_cut_short`` it ends once the upstream runs nothing, as
    other nodes that still send find their calls refused as not run.
    Calls in flight then have ``budget`` to end.
    """

    hold: timedelta = timedelta()
    spread: timedelta = timedelta(milliseconds=2000)
    budget: timedelta = timedelta(milliseconds=30_000)
    is_spread_cut_short: bool = False
