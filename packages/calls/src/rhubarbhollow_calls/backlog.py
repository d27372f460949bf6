"""Queueing delay at an upstream, by call priority."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls.call_priority import CallPriority

MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Backlog:
    """Hold the expected wait for a slot, in seconds, by priority.

    An interactive call waits only for other interactive calls, which
    takes ``interactive_seconds``. A bulk call waits for all calls ahead
    of it, which takes ``bulk_seconds``.
    """

    interactive_seconds: float = 0.0
    bulk_seconds: float = 0.0

    def wait_seconds(self, priority: CallPriority) -> float:
        """Return the expected wait of a call with ``priority``."""
        if priority is CallPriority.INTERACTIVE:
            return self.interactive_seconds
        return self.bulk_seconds

    def plus(self, priority: CallPriority, seconds: float) -> Backlog:
        """Return a copy with one more queued call of ``priority``.

        ``seconds`` is the call's service time divided by the number of
        slots.
        """
        interactive = self.interactive_seconds
        if priority is CallPriority.INTERACTIVE:
            interactive += seconds
        return Backlog(interactive, self.bulk_seconds + seconds)


NO_BACKLOG: Final = Backlog()


def encode_backlog(backlog: Backlog) -> bytes:
    """Encode both waits in whole milliseconds, separated by a comma."""
    return b"%d,%d" % (
        round(backlog.interactive_seconds * MS_PER_SECOND),
        round(backlog.bulk_seconds * MS_PER_SECOND),
    )
