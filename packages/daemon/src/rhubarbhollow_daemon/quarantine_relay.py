"""Spreading what nodes learn of requests that crash upstreams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.quarantine import CRASH_MEMORY_SECONDS

if TYPE_CHECKING:
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_wire.clock import Clock

MAX_REMEMBERED: Final = 1_024


class QuarantineRelay:
    """Remember recent messages, each once, for nodes that join later.

    Merging them is idempotent and has no order, so repeats and late
    ones do no harm.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._messages: OrderedDict[QuarantineMessage, None] = OrderedDict()

    def is_news(self, message: QuarantineMessage) -> bool:
        """Remember a message; return whether it was not known."""
        if message in self._messages:
            return False
        self._messages[message] = None
        if len(self._messages) > MAX_REMEMBERED:
            self._messages.popitem(last=False)
        return True

    def recent(self) -> tuple[QuarantineMessage, ...]:
        """Return what a node that joins now should know."""
        oldest = self._clock.utc().timestamp() - CRASH_MEMORY_SECONDS
        return tuple(
            message for message in self._messages if message.at >= oldest
        )
