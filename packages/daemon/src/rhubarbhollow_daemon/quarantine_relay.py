"""Distribution of crash reports and exonerations among nodes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.quarantine import CRASH_RETENTION_SECONDS

if TYPE_CHECKING:
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_wire.clock import Clock

MAX_STORED_MESSAGES: Final = 1_024


class QuarantineRelay:
    """Store recent messages, deduplicated, for nodes that join later.

    Merging them is idempotent and commutative, so repeated and late
    messages do no harm.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._messages: OrderedDict[QuarantineMessage, None] = OrderedDict()

    def store_if_new(self, message: QuarantineMessage) -> bool:
        """Store a message; return whether it was not stored before."""
        if message in self._messages:
            return False
        self._messages[message] = None
        if len(self._messages) > MAX_STORED_MESSAGES:
            self._messages.popitem(last=False)
        return True

    def recent(self) -> tuple[QuarantineMessage, ...]:
        """Return the messages that a node gets on joining."""
        oldest = self._clock.utc().timestamp() - CRASH_RETENTION_SECONDS
        return tuple(
            message for message in self._messages if message.at >= oldest
        )
