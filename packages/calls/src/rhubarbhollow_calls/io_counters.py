"""Counters of calls, by route and for the whole node."""

from __future__ import annotations

from bisect import bisect_left
from typing import Final

from rhubarbhollow_calls.refusal import RefusalKind

LATENCY_BOUNDS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)

KEY_REFUSALS: Final = (
    RefusalKind.KEY_UNKNOWN,
    RefusalKind.KEY_UNCONFIRMED,
    RefusalKind.KEY_WITHDRAWN,
)

# Bounds the metric series of a node whose tenants change often.
MAX_COUNTED_TENANTS: Final = 256
OTHER_TENANTS: Final = "other"


class RouteCounters:
    """Count the outcomes of one route's calls, monotonically.

    ``latency_buckets`` is a histogram of complete responses with the
    upper bounds ``LATENCY_BOUNDS_SECONDS`` and one more bucket for
    those that took longer.
    """

    __slots__ = (
        "aborted",
        "answered",
        "cancelled",
        "latency_buckets",
        "latency_seconds",
        "refused_not_run",
        "refused_unknown",
        "replayed",
        "retries",
        "upstream_errors",
    )

    def __init__(self) -> None:
        self.answered = 0
        self.upstream_errors = 0
        self.refused_not_run = 0
        self.refused_unknown = 0
        self.replayed = 0
        self.aborted = 0
        self.cancelled = 0
        self.retries = 0
        self.latency_seconds = 0.0
        self.latency_buckets = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)

    def count_answer(self, is_error: bool, seconds: float) -> None:
        """Count a complete response; ``is_error`` means status 5xx."""
        if is_error:
            self.upstream_errors += 1
        else:
            self.answered += 1
        self.latency_seconds += seconds
        self.latency_buckets[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1


class NodeCounters:
    """Count calls that are not attributed to a route.

    ``keys_refused`` counts calls by the kind of their refusal, for the
    kinds that say that a key is not valid here, and ``keys_withdrawn``
    by tenant those whose key was revoked on the way.
    """

    __slots__ = ("keys_refused", "keys_withdrawn", "malformed", "unrouted")

    def __init__(self) -> None:
        self.malformed = 0
        self.unrouted = 0
        self.keys_refused: dict[RefusalKind, int] = dict.fromkeys(
            KEY_REFUSALS, 0
        )
        self.keys_withdrawn: dict[str, int] = {}

    def count_withdrawn(self, tenant: str) -> None:
        """Count a call whose key was revoked on the way.

        Tenants beyond the limit are counted together.
        """
        counts = self.keys_withdrawn
        if tenant not in counts and len(counts) >= MAX_COUNTED_TENANTS:
            tenant = OTHER_TENANTS
        counts[tenant] = counts.get(tenant, 0) + 1
