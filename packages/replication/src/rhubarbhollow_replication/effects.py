"""Pending I/O that the caller of the core has to perform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.outbox import Send
    from rhubarbhollow_replication.write import Write


@dataclass(frozen=True, slots=True)
class Effects:
    """The writes and messages of one step, in the required order.

    ``sends_before_sync`` may be sent at once. ``sends_after_sync`` may
    be sent only after every write is durable and ``Core.handle_synced``
    has been called.
    """

    sends_before_sync: tuple[Send, ...]
    writes: tuple[Write, ...]
    sends_after_sync: tuple[Send, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there are no writes and no messages."""
        return not (
            self.sends_before_sync or self.writes or self.sends_after_sync
        )
