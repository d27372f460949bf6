"""Whether a node could get its release in its own data centre."""

from __future__ import annotations

from enum import Enum


class LocalSource(Enum):
    """What is known of the instances in a node's data centre."""

    NONE = "none"
    KNOWN = "known"
    REACHABLE = "reachable"
