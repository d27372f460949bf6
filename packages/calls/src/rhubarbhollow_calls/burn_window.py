"""Windows over which burn is reported."""

from __future__ import annotations

from enum import Enum


class BurnWindow(Enum):
    """Hold the length of a window in seconds."""

    FIVE_MINUTES = 300
    ONE_HOUR = 3600
    SIX_HOURS = 21_600
    THREE_DAYS = 259_200

    @property
    def seconds(self) -> int:
        """Return the length of the window."""
        return self.value
