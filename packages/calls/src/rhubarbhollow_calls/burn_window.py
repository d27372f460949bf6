"""Windows over which burn rates are reported."""

from __future__ import annotations

from enum import Enum


class BurnWindow(Enum):
    """Reporting windows; the value is the length in seconds."""

    FIVE_MINUTES = 300
    ONE_HOUR = 3600
    SIX_HOURS = 21_600
    THREE_DAYS = 259_200

    @property
    def seconds(self) -> int:
        """Return the length of the window in seconds."""
        return self.value
