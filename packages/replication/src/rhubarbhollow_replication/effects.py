"""What the caller of the core has to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.outbox import Send
    from rhubarbhollow_replication.write import Write


@dataclass(frozen=True, slots=True)
class Effects:
    """Order the I/O of one step.

    ``early`` may be sent at once, ``late`` only after every write is
    durable and ``Core.handle_synced`` has been told.
    """

    sends_before_sync: tuple[Send, ...]
    writes: tuple[Write, ...]
    sends_after_sync: tuple[Send, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (
            self.sends_before_sync or self.writes or self.sends_after_sync
        )
