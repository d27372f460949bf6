"""What this node itself has seen of one endpoint."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.backlog import NO_BACKLOG
from rhubarbhollow_calls.endpoint import EndpointState

if TYPE_CHECKING:
    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.endpoint import Endpoint

# five calls make up most of the average
LATENCY_WEIGHT: Final = 0.2
# ten calls make up most of the share
FAILURE_WEIGHT: Final = 0.1
# one call that took unusually long says no more than this
MAX_SLOWNESS: Final = 8.0
# evidence counts half after this without a call, so that an endpoint
# that was slow or failed once is tried again
EVIDENCE_MEMORY_SECONDS: Final = 5.0
SLOW_START_SECONDS: Final = 10.0
MIN_SLOW_START_SHARE: Final = 0.1


class UpstreamEvidence:
    """Hold the counters of one endpoint; its book changes them."""

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
        "is_on_trial",
        "latency_at",
        "latency_seconds",
        "refusals",
        "refusing_until",
        "reported_load",
        "sent",
        "slow_start_at",
        "slowness",
        "stale_in_flight",
    )

    def __init__(self, endpoint: Endpoint, is_local: bool) -> None:
        self.endpoint = endpoint
        self.is_local = is_local
        self.in_flight = 0
        # calls in flight on an incarnation that has gone since
        self.stale_in_flight = 0
        self.reset()

    @property
    def is_leaving(self) -> bool:
        """Return whether the endpoint asked for no new calls."""
        return self.endpoint.state is EndpointState.LEAVING

    @property
    def is_full(self) -> bool:
        """Return whether this node's calls alone take all slots."""
        return self.in_flight >= self.endpoint.slots

    @property
    def steady_at(self) -> float:
        """Return when nothing but its load tells it from others."""
        if self.is_on_trial:
            return math.inf
        return max(
            self.slow_start_at + SLOW_START_SECONDS,
            self.ejected_until,
            self.refusing_until,
        )

    def reset(self) -> None:
        """Forget all but the calls in flight."""
        self.latency_seconds: float | None = None
        self.latency_at = 0.0
        # what the node beside it told of, when it did, and the work by
        # slot that was sent there since
        self.backlog = NO_BACKLOG
        self.backlog_at = 0.0
        self.sent = NO_BACKLOG
        # how much longer calls take here than elsewhere, 1 for alike
        self.slowness = 1.0
        # the share of recent calls that failed or were shed
        self.failure_share = 0.0
        self.consecutive_failures = 0
        self.failed_at = 0.0
        self.refusals = 0
        self.refusing_until = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        # set from the end of an ejection to the next answer
        self.is_on_trial = False
        self.reported_load: float | None = None
        self.slow_start_at = self.endpoint.joined_at

    def replace(self, endpoint: Endpoint) -> None:
        """Take the endpoint's newer description."""
        is_new = endpoint.incarnation != self.endpoint.incarnation
        self.endpoint = endpoint
        if is_new:
            self.stale_in_flight = self.in_flight
            self.reset()

    def share(self, now: float) -> float:
        """Return the share of a full endpoint's calls it may get."""
        age = now - self.slow_start_at
        if age >= SLOW_START_SECONDS:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age / SLOW_START_SECONDS)

    def observe_latency(self, seconds: float, now: float) -> None:
        """Mix one call's latency into the average."""
        known = self.latency_seconds
        if known is None:
            self.latency_seconds = seconds
        else:
            self.latency_seconds = known + LATENCY_WEIGHT * (seconds - known)
        self.latency_at = now

    def observe_latency_floor(self, seconds: float, now: float) -> None:
        """Mix in a failed call's time if it shows a higher latency.

        A quick failure says nothing about the latency of answers; taken
        as the first evidence it would attract calls.
        """
        known = self.latency_seconds
        if known is not None and seconds > known:
            self.observe_latency(seconds, now)

    def observe_backlog(self, backlog: Backlog, now: float) -> None:
        """Take over what the node beside the upstream holds."""
        self.backlog = backlog
        self.backlog_at = now
        self.sent = NO_BACKLOG

    def observe_end(self, *, is_failure: bool) -> None:
        """Mix one call's end into the share of failures."""
        self.failure_share += FAILURE_WEIGHT * (
            is_failure - self.failure_share
        )

    def observe_slowness(self, ratio: float) -> None:
        """Mix in one call's time over that of its route."""
        bounded = min(max(ratio, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        self.slowness += LATENCY_WEIGHT * (bounded - self.slowness)

    def faded_latency(self, now: float) -> float | None:
        """Return the latency, less by the time without evidence."""
        if self.latency_seconds is None:
            return None
        return self.latency_seconds * _fade(now - self.latency_at)

    def faded_failures(self, now: float) -> float:
        """Return the failures in a row, less by the time since."""
        if not self.consecutive_failures:
            return 0.0
        return self.consecutive_failures * _fade(now - self.failed_at)


def _fade(age_seconds: float) -> float:
    return 1 / (1 + max(0.0, age_seconds) / EVIDENCE_MEMORY_SECONDS)
