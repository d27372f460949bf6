"""What waits at the node beside an upstream, by class of call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls.call_priority import CallPriority

MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Backlog:
    """Hold the seconds until a slot is free, as a call would find it.

    An interactive call waits for those of its class alone, which are
    ``interactive_seconds``; a bulk call for all, ``bulk_seconds``.
    """

    interactive_seconds: float = 0.0
    bulk_seconds: float = 0.0

    def wait_seconds(self, priority: CallPriority) -> float:
        """Return the wait of a call of that class."""
        if priority is CallPriority.INTERACTIVE:
            return self.interactive_seconds
        return self.bulk_seconds

    def plus(self, priority: CallPriority, seconds: float) -> Backlog:
        """Return the backlog with one more call's work by slot."""
        interactive = self.interactive_seconds
        if priority is CallPriority.INTERACTIVE:
            interactive += seconds
        return Backlog(interactive, self.bulk_seconds + seconds)


NO_BACKLOG: Final = Backlog()


def encode_backlog(backlog: Backlog) -> bytes:
    """Return the backlog in milliseconds, for a field or a log."""
    return b"%d,%d" % (
        round(backlog.interactive_seconds * MS_PER_SECOND),
        round(backlog.bulk_seconds * MS_PER_SECOND),
    )
