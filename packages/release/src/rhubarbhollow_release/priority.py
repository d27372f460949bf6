"""Priority classes, which order the calls that wait in a queue."""

from __future__ import annotations

from enum import StrEnum


class Priority(StrEnum):
    """Classify the calls of a route by urgency."""

    INTERACTIVE = "interactive"
    BULK = "bulk"
