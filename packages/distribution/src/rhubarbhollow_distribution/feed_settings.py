"""The timing of what a control instance sends to its nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Set how changes are coalesced and when heartbeats are sent.

    The first change after a quiet window is sent at once; further ones
    within ``coalescing_seconds`` are sent together at its end.  Changes
    of load alone wait for ``load_seconds``.
    """

    coalescing_seconds: float
    heartbeat_seconds: float
    load_seconds: float = 1.0
    stage_timeout_seconds: float = 5.0
