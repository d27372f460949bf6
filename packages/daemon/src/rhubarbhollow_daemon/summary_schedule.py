"""When a control instance sends the summary of its nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.register_summary import RegisterSummary
    from rhubarbhollow_wire.clock import Clock

REPEAT_SECONDS: Final = 0.5
MIN_SECONDS: Final = 0.01
NEVER: Final = float("inf")


class SummarySchedule:
    """Send a changed summary soon and an unchanged one now and then.

    A change right after a summary waits for ``MIN_SECONDS``, so that
    the reports of many nodes share one message; ``due`` then says when
    to ask again, since no event may come before.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_at = -REPEAT_SECONDS
        self._sent: RegisterSummary | None = None
        self._due = NEVER

    @property
    def due(self) -> float:
        """Return the time at which a held back change may go."""
        return self._due

    def should_send(self, summary: RegisterSummary) -> bool:
        """Tell whether to send now; note it as sent if so."""
        now = self._clock.monotonic()
        is_repeat_due = now >= self._sent_at + REPEAT_SECONDS
        if summary == self._sent and not is_repeat_due:
            self._due = NEVER
            return False
        earliest = self._sent_at + MIN_SECONDS
        if now < earliest:
            self._due = earliest
            return False
        self._due = NEVER
        self._sent_at = now
        self._sent = summary
        return True
