"""The loads that a control instance collects for its data centre."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rhubarbhollow_placement.upstream_load import RouteTime

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_placement.upstream_load import UpstreamLoad


class LoadBoard:
    """Keep the loads that have changed since they were last taken.

    Several reports of one upstream become one: the latest figures, and
    the latest time of each route.
    """

    def __init__(self) -> None:
        self._changed: dict[str, UpstreamLoad] = {}

    def record(self, loads: Iterable[UpstreamLoad]) -> None:
        """Add the loads of a report."""
        for load in loads:
            known = self._changed.get(load.name)
            if known is not None and known.times:
                times = {time.route: time.service_ms for time in known.times}
                times |= {time.route: time.service_ms for time in load.times}
                merged = tuple(RouteTime(*item) for item in times.items())
                self._changed[load.name] = replace(load, times=merged)
            else:
                self._changed[load.name] = load

    def take_changed(self) -> tuple[UpstreamLoad, ...]:
        """Return and forget the loads that have changed."""
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed
