"""The heartbeat of a control instance on an idle connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlHeartbeat:
    """Report whether the sender is fresh, and its positions.

    ``is_fresh`` means that a quorum confirmed the sender's positions
    within the lease time.
    """

    is_fresh: bool
    latest_position: int
    active_position: int
