"""The evidence that this node holds about one endpoint."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.backlog import (
    MS_PER_SECOND,
    NO_BACKLOG,
    Backlog,
)
from rhubarbhollow_calls.endpoint import EndpointState
from rhubarbhollow_placement.work_speed import WorkSpeed

if TYPE_CHECKING:
    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_placement.upstream_load import UpstreamLoad

# Weight of a new sample in the moving averages of latency and slowness.
# The last five calls make up most of the average.
LATENCY_WEIGHT: Final = 0.2
# Weight of a new sample in the failure share. The last ten calls make
# up most of the share.
FAILURE_WEIGHT: Final = 0.1
# Upper bound of one sample of slowness, so that one unusually long call
# has a limited effect.
MAX_SLOWNESS: Final = 8.0
# Evidence counts half after this time without a call, so that an
# endpoint that was slow or failed once is tried again.
EVIDENCE_DECAY_SECONDS: Final = 5.0
SLOW_START_SECONDS: Final = 10.0
MIN_SLOW_START_SHARE: Final = 0.1


class UpstreamEvidence:
    """Hold the evidence about one endpoint for ``UpstreamSelector``."""

    __slots__ = (
        "backlog",
        "backlog_at",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "endpoint",
        "failed_at",
        "failure_share",
        "in_flight",
        "is_local",
        "is_on_probation",
        "is_reported",
        "latency_at",
        "latency_seconds",
        "refusals",
        "refusing_until",
        "reported_load",
        "route_seconds",
        "sent_backlog",
        "slow_start_at",
        "slowness",
        "speed",
        "stale_in_flight",
    )

    def __init__(self, endpoint: Endpoint, is_local: bool) -> None:
        self.endpoint = endpoint
        self.is_local = is_local
        self.in_flight = 0
        # Calls in flight that started on an earlier incarnation.
        self.stale_in_flight = 0
        self.reset()

    @property
    def is_leaving(self) -> bool:
        """Return whether the endpoint accepts no new calls."""
        return self.endpoint.state is EndpointState.LEAVING

    @property
    def is_full(self) -> bool:
        """Return whether this node's own calls take all slots."""
        return self.in_flight >= self.endpoint.slots

    @property
    def steady_at(self) -> float:
        """Return the time when slow start, back-off and ejection end.

        It is infinite while the endpoint is on probation.
        """
        if self.is_on_probation:
            return math.inf
        return max(
            self.slow_start_at + SLOW_START_SECONDS,
            self.ejected_until,
            self.refusing_until,
        )

    def reset(self) -> None:
        """Discard all evidence except the calls in flight."""
        self.latency_seconds: float | None = None
        self.latency_at = 0.0
        # The backlog that the node beside the upstream last reported,
        # the time of that report, and the service time per slot of the
        # calls that this node has sent since.
        self.backlog = NO_BACKLOG
        self.backlog_at = 0.0
        self.sent_backlog = NO_BACKLOG
        self.speed = WorkSpeed()
        # Whether the upstream's node reports its load.
        self.is_reported = False
        # Service times at usual speed that load reports have brought.
        self.route_seconds: dict[str, float] = {}
        # Service time here relative to the route's average; 1 is equal.
        self.slowness = 1.0
        # Share of recent calls that failed or were refused.
        self.failure_share = 0.0
        self.consecutive_failures = 0
        self.failed_at = 0.0
        self.refusals = 0
        self.refusing_until = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        # Set from an ejection until the first answer after it ends.
        self.is_on_probation = False
        self.reported_load: float | None = None
        self.slow_start_at = self.endpoint.joined_at

    def replace(self, endpoint: Endpoint) -> None:
        """Use a newer record; a new incarnation resets the evidence."""
        is_new = endpoint.incarnation != self.endpoint.incarnation
        self.endpoint = endpoint
        if is_new:
            self.stale_in_flight = self.in_flight
            self.reset()

    def share(self, now: float) -> float:
        """Return the slow-start share of calls.

        It rises from ``MIN_SLOW_START_SHARE`` to 1, relative to the
        calls that the endpoint gets after slow start.
        """
        age = now - self.slow_start_at
        if age >= SLOW_START_SECONDS:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age / SLOW_START_SECONDS)

    def observe_latency(self, seconds: float, now: float) -> None:
        """Add one call's latency to the moving average."""
        known = self.latency_seconds
        if known is None:
            self.latency_seconds = seconds
        else:
            self.latency_seconds = known + LATENCY_WEIGHT * (seconds - known)
        self.latency_at = now

    def observe_latency_floor(self, seconds: float, now: float) -> None:
        """Add a failed call's duration if it is above the average.

        A quick failure says nothing about the latency of answers. As
        the first sample it would attract calls.
        """
        known = self.latency_seconds
        if known is not None and seconds > known:
            self.observe_latency(seconds, now)

    def observe_backlog(self, backlog: Backlog, now: float) -> None:
        """Record the backlog that the upstream's node reported."""
        self.backlog = backlog
        self.backlog_at = now
        self.sent_backlog = NO_BACKLOG

    def observe_load(
        self, load: UpstreamLoad, now: float, speed_at: float
    ) -> None:
        """Record a load report; its speed is as of ``speed_at``."""
        interactive = load.interactive_ms / MS_PER_SECOND
        bulk = load.bulk_ms / MS_PER_SECOND
        self.observe_backlog(Backlog(interactive, bulk), now)
        self.is_reported = True
        self.speed.observe(load.work_percent, speed_at)
        for time in load.times:
            self.route_seconds[time.route] = time.service_ms / MS_PER_SECOND

    def observe_end(self, *, is_failure: bool) -> None:
        """Add one call's outcome to the share of failures."""
        self.failure_share += FAILURE_WEIGHT * (
            is_failure - self.failure_share
        )

    def observe_slowness(self, ratio: float) -> None:
        """Add one call's service time relative to its route's."""
        bounded = min(max(ratio, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        self.slowness += LATENCY_WEIGHT * (bounded - self.slowness)

    def decayed_latency(self, now: float) -> float | None:
        """Return the latency, decayed by the age of its evidence.

        It is ``None`` if there is no sample.
        """
        if self.latency_seconds is None:
            return None
        return self.latency_seconds * _decay_factor(now - self.latency_at)

    def decayed_failures(self, now: float) -> float:
        """Return the consecutive failures, decayed by their age."""
        if not self.consecutive_failures:
            return 0.0
        return self.consecutive_failures * _decay_factor(now - self.failed_at)


def _decay_factor(age_seconds: float) -> float:
    return 1 / (1 + max(0.0, age_seconds) / EVIDENCE_DECAY_SECONDS)
