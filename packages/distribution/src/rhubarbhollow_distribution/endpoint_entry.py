"""What the control instances say of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(slots=True)
class EndpointEntry:
    """Hold the records vouched for, by instance, and the visible one.

    ``version`` is that of the table at the last visible change, and
    ``gone_at`` the time at which a tombstone became visible.
    """

    vouched: dict[str, EndpointRecord] = field(default_factory=dict)
    visible: EndpointRecord | None = None
    version: int = 0
    gone_at: float = 0.0

    @property
    def has_live_voucher(self) -> bool:
        """Tell whether some instance vouches for a living endpoint."""
        return any(not record.is_gone for record in self.vouched.values())

    def pick_visible(
        self,
        distrusted: Container[str],
    ) -> EndpointRecord | None:
        """Return the record to show, without distrusted instances."""
        trusted = (
            record
            for control, record in self.vouched.items()
            if control not in distrusted
        )
        best = max(
            trusted,
            key=lambda record: (record.order, not record.is_gone),
            default=None,
        )
        known = self.visible
        if known is None:
            return best
        if best is None or best.order < known.order:
            # Nobody vouches for the newest record any more.
            return known.bury()
        return best
