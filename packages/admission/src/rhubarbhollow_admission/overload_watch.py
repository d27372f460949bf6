"""When an upstream is asked for more than its slots can serve."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Seconds without a rejection after which an overload has ended. A
# shorter time gives two log lines for each burst of a wave.
CALM_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class OverloadChange:
    """State that an overload has begun, or ended.

    ``rejected`` counts the calls that were rejected in it so far.
    """

    is_overloaded: bool
    rejected: int


class OverloadWatch:
    """Find the begin and the end of an overload from rejections."""

    __slots__ = ("_first", "_last_at", "_seen")

    def __init__(self) -> None:
        self._seen = 0
        # The total before the overload, while there is one.
        self._first: int | None = None
        self._last_at = 0.0

    def observe(self, rejected: int, now: float) -> OverloadChange | None:
        """Return a change; ``rejected`` is the total so far."""
        if rejected > self._seen:
            before, self._seen = self._seen, rejected
            self._last_at = now
            if self._first is None:
                self._first = before
                return OverloadChange(True, rejected - before)
        elif self._first is not None and now - self._last_at >= CALM_SECONDS:
            first, self._first = self._first, None
            return OverloadChange(False, rejected - first)
        return None
