"""The control instance's refusal to admit a node now."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class RedirectReason(IntEnum):
    """Say why the node was not admitted."""

    BUSY = 1
    NOT_FRESH = 2
    BELOW_FLOOR = 3
    WRONG_MESH = 4
    STOPPING = 5


@dataclass(frozen=True, slots=True)
class Redirect:
    """Send the node elsewhere, or back after ``retry_after_ms``."""

    reason: int
    retry_after_ms: int
