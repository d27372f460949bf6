"""Schedule on which a control instance sends its node summary."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.register_summary import RegisterSummary
    from rhubarbhollow_wire.clock import Clock

# The leader plans activations by the summaries; the others show them to
# operators, and ten of them cost ten times the bytes.
REPEAT_INTERVAL_SECONDS: Final = 0.5
MIN_INTERVAL_SECONDS: Final = 0.01
OTHERS_REPEAT_INTERVAL_SECONDS: Final = 3.0
OTHERS_MIN_INTERVAL_SECONDS: Final = 1.0
NEVER: Final = float("inf")


class SummarySchedule:
    """Send changed summaries promptly and unchanged ones periodically.

    A change right after a summary waits until ``min_seconds`` have
    passed, so that the reports of many nodes share one message. ``due``
    is then the time to call ``should_send`` again, since no event may
    trigger it before.
    """

    def __init__(
        self,
        clock: Clock,
        repeat_seconds: float = REPEAT_INTERVAL_SECONDS,
        min_seconds: float = MIN_INTERVAL_SECONDS,
    ) -> None:
        self._clock = clock
        self._repeat_seconds = repeat_seconds
        self._min_seconds = min_seconds
        self._sent_at = -repeat_seconds
        self._sent: RegisterSummary | None = None
        self._due = NEVER

    @property
    def due(self) -> float:
        """Return when a delayed change may be sent, or infinity."""
        return self._due

    def restart(self) -> None:
        """Make the next summary due, since its receiver is another."""
        self._sent = None
        self._sent_at = -self._repeat_seconds

    def should_send(self, summary: RegisterSummary) -> bool:
        """Return whether to send now, and record it as sent if so."""
        now = self._clock.monotonic()
        is_repeat_due = now >= self._sent_at + self._repeat_seconds
        if summary == self._sent and not is_repeat_due:
            self._due = NEVER
            return False
        earliest = self._sent_at + self._min_seconds
        if now < earliest:
            self._due = earliest
            return False
        self._due = NEVER
        self._sent_at = now
        self._sent = summary
        return True
