"""The control instance's sign of life on an idle connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlHeartbeat:
    """Tell whether the sender is fresh, and its positions.

    ``is_fresh`` means that a quorum confirmed the sender's positions
    within the lease time and, on a node's first heartbeat, that the
    confirmation began after the node's hello.
    """

    is_fresh: bool
    latest_position: int
    active_position: int
