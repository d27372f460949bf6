"""Rate-limited log lines for decisions on single requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock

# A line takes about 0.1 ms of a small core, so a sustained rate of 40
# lines per second takes 0.4 % of it.
LINES_PER_SECOND: Final = 40.0
# The capacity of the token bucket: the number of lines that may be
# written at once after an idle period.
BURST_LINES: Final = 200.0

_log = structlog.get_logger()


class DecisionLog:
    """Write one line for each decision, limited by a token bucket.

    Lines over the limit are omitted and counted; the next line that is
    written carries their number in ``lines_left_out``.
    """

    def __init__(
        self,
        clock: Clock,
        lines_per_second: float = LINES_PER_SECOND,
        burst_lines: float = BURST_LINES,
    ) -> None:
        self._clock = clock
        self._lines_per_second = lines_per_second
        self._burst_lines = burst_lines
        self._allowed = burst_lines
        self._refilled_at = clock.monotonic()
        self._omitted_since_last = 0
        self._lines_omitted = 0

    @property
    def lines_omitted(self) -> int:
        """Return how many lines were omitted so far."""
        return self._lines_omitted

    def write(self, event: str, **fields: object) -> None:
        """Write a line, or count it as omitted if over the limit."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_second
        self._refilled_at = now
        self._allowed = min(self._burst_lines, self._allowed + refill)
        if self._allowed < 1:
            self._omitted_since_last += 1
            self._lines_omitted += 1
            return
        self._allowed -= 1
        if self._omitted_since_last:
            fields["lines_left_out"] = self._omitted_since_last
            self._omitted_since_last = 0
        _log.info(event, **fields)
