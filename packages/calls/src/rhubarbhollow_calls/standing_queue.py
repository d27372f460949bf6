"""Detection of a queue that no longer drains."""

from __future__ import annotations

from typing import Final

# A queue stands once calls have waited without a break for this many
# times the latency objective of the call that arrives. A shorter wait
# is a burst, which the queue is there to absorb.
STANDING_OBJECTIVES: Final = 3.0
# Share of its latency objective that a call may wait in a standing
# queue, and the number of waiting calls below which it may always wait,
# so that a released slot is never left idle.
STANDING_WAIT_SHARE: Final = 0.25
MIN_WAITING: Final = 2


class StandingQueue:
    """Bound the wait of calls while there is more work than slots.

    The load that this answers: for seconds on end more calls arrive
    than the slots can serve. The queue is then always as long as the
    objective allows, so that every call starts at its last moment, and
    those that take longer than the average end late. A short queue
    serves as many calls, earlier, and refuses the others at once.
    """

    __slots__ = ("_waiting_since",)

    def __init__(self) -> None:
        self._waiting_since: float | None = None

    def observe(self, waiting: int, now: float) -> None:
        """Record the length of the queue before a call arrives."""
        if not waiting:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def is_too_long(
        self,
        waiting: int,
        wait_seconds: float,
        objective_seconds: float,
        now: float,
    ) -> bool:
        """Return whether a call should not join the queue.

        ``wait_seconds`` is the expected wait of the call.
        """
        since = self._waiting_since
        if since is None or waiting < MIN_WAITING:
            return False
        if now - since <= STANDING_OBJECTIVES * objective_seconds:
            return False
        return wait_seconds > STANDING_WAIT_SHARE * objective_seconds
