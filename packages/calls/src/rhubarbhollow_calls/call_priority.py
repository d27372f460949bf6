"""The priority classes of calls that wait for a slot."""

from __future__ import annotations

from enum import IntEnum


class CallPriority(IntEnum):
    """Order calls by priority; a lower value is served first."""

    INTERACTIVE = 0
    BULK = 1
