"""The order in which waiting calls are served."""

from __future__ import annotations

from enum import StrEnum


class Priority(StrEnum):
    """Name a route's class of calls."""

    INTERACTIVE = "interactive"
    BULK = "bulk"
