"""The records that control instances report for one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from rhubarbhollow_distribution.endpoint_record import EndpointRecord


@dataclass(slots=True)
class EndpointEntry:
    """Hold the record reported by each instance and the visible one.

    ``reported`` is keyed by the name of the control instance.
    ``version`` is the table version of the last visible change, and
    ``gone_at`` the monotonic time at which a tombstone became visible.
    """

    reported: dict[str, EndpointRecord] = field(default_factory=dict)
    visible: EndpointRecord | None = None
    version: int = 0
    gone_at: float = 0.0

    @property
    def is_reported_live(self) -> bool:
        """Return whether any instance reports a live record."""
        return any(not record.is_gone for record in self.reported.values())

    def select_visible(
        self,
        suspended: Container[str],
    ) -> EndpointRecord | None:
        """Return the visible record, ignoring suspended instances.

        Return ``None`` if no record was ever visible and every report
        comes from a suspended instance.
        """
        eligible = (
            record
            for control, record in self.reported.items()
            if control not in suspended
        )
        best = max(
            eligible,
            key=lambda record: (record.order, not record.is_gone),
            default=None,
        )
        known = self.visible
        if known is None:
            return best
        if best is None or best.order < known.order:
            # No eligible instance reports the newest record any more.
            return known.to_tombstone()
        return best
