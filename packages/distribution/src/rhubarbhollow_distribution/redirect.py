"""The message with which a control instance refuses a node."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class RedirectReason(IntEnum):
    """Classify why the node was not admitted."""

    BUSY = 1
    NOT_FRESH = 2
    BELOW_FLOOR = 3
    WRONG_MESH = 4
    STOPPING = 5


@dataclass(frozen=True, slots=True)
class Redirect:
    """Refuse the node; it may connect elsewhere immediately.

    It may reconnect to the sender after ``retry_after_ms``.
    """

    reason: int
    retry_after_ms: int
