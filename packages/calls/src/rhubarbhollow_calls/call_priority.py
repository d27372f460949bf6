"""The order in which waiting calls get a slot."""

from __future__ import annotations

from enum import IntEnum


class CallPriority(IntEnum):
    """Rank a call; a lower value is served earlier."""

    INTERACTIVE = 0
    BULK = 1
