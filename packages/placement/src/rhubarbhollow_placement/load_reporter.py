"""When a node reports the load of the upstream beside it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_placement.upstream_load import RouteTime, UpstreamLoad
    from rhubarbhollow_wire.clock import Clock

# A load that has not changed is repeated at this interval, for nodes
# that have connected since.
REPEAT_SECONDS: Final = 1.0
# Changes below these are not reported.
WAIT_STEP_MS: Final = 10
PERCENT_STEP: Final = 15
TIME_STEP: Final = 0.1


class LoadReporter:
    """Leave out reports, and parts of them, that bring nothing new."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent: UpstreamLoad | None = None
        self._sent_at = 0.0
        self._times: dict[str, int] = {}

    def maybe_report(self, load: UpstreamLoad) -> UpstreamLoad | None:
        """Return what to send of the current load, or ``None``."""
        now = self._clock.monotonic()
        sent = self._sent
        is_new = sent is None or sent.name != load.name
        is_repeat = now >= self._sent_at + REPEAT_SECONDS
        if is_new or is_repeat:
            self._times.clear()
        elif sent is not None and not _differs(sent, load):
            return None
        self._sent = load
        if is_new or is_repeat:
            self._sent_at = now
        return replace(load, times=self._changed_times(load))

    def _changed_times(self, load: UpstreamLoad) -> tuple[RouteTime, ...]:
        changed = []
        for time in load.times:
            known = self._times.get(time.route)
            if known is None or (
                abs(time.service_ms - known) > TIME_STEP * known
            ):
                self._times[time.route] = time.service_ms
                changed.append(time)
        return tuple(changed)


def _differs(sent: UpstreamLoad, load: UpstreamLoad) -> bool:
    return (
        abs(sent.interactive_ms - load.interactive_ms) >= WAIT_STEP_MS
        or abs(sent.bulk_ms - load.bulk_ms) >= WAIT_STEP_MS
        or abs(sent.work_percent - load.work_percent) >= PERCENT_STEP
    )
