"""Queue of outgoing messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    """A message and the member to send it to.

    With ``may_precede_sync``, the message may be sent before the
    pending writes are durable, because it does not depend on them.
    """

    to: str
    message: PeerMessage
    may_precede_sync: bool = False


class Outbox:
    """Queue messages until the caller takes them."""

    def __init__(self) -> None:
        self._sends: list[Send] = []

    def add(
        self, to: str, message: PeerMessage, *, may_precede_sync: bool = False
    ) -> None:
        """Queue ``message`` for the member ``to``."""
        self._sends.append(Send(to, message, may_precede_sync))

    def take(self) -> tuple[Send, ...]:
        """Return the queued messages and clear the queue."""
        sends = tuple(self._sends)
        self._sends.clear()
        return sends
