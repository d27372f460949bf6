"""Timing of the messages that a control instance sends to nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Configure coalescing, heartbeats and the staging timeout.

    The first change after an idle window is sent at once; further
    changes within ``coalescing_seconds`` are sent together at its end.
    Changes of load alone wait for ``load_seconds``.  If a stage
    message is not answered within ``stage_timeout_seconds``, another
    one is sent.
    """

    coalescing_seconds: float
    heartbeat_seconds: float
    load_seconds: float = 1.0
    stage_timeout_seconds: float = 5.0
