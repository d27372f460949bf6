"""Coalescing and rate limiting of endpoint records for a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.endpoint_store import is_load_only

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.endpoint_record import (
        EndpointKey,
        EndpointRecord,
    )
    from rhubarbhollow_wire.clock import Clock

NEVER: Final = float("-inf")


class EndpointPacer:
    """Collect changed records and release them at a bounded rate.

    The first change after an idle window is released at once; changes
    that follow within the window are released together at its end.
    Changes of load alone wait for a longer window, but are included
    when any other change is released.
    """

    def __init__(
        self,
        clock: Clock,
        coalescing_seconds: float,
        load_seconds: float,
    ) -> None:
        self._clock = clock
        self._coalescing_seconds = coalescing_seconds
        self._load_seconds = max(load_seconds, coalescing_seconds)
        self._released: dict[EndpointKey, EndpointRecord] = {}
        self._pending: dict[EndpointKey, EndpointRecord] = {}
        self._is_urgent = False
        self._released_at = NEVER

    def add(self, records: Iterable[EndpointRecord]) -> None:
        """Add changed records; a later one replaces an earlier one."""
        for record in records:
            before = self._released.get(record.key)
            self._pending[record.key] = record
            self._is_urgent |= not is_load_only(before, record)

    def take(self) -> tuple[EndpointRecord, ...]:
        """Return the collected records if they are due, else none."""
        due = self.next_due()
        now = self._clock.monotonic()
        if due is None or now < due:
            return ()
        taken = tuple(self._pending.values())
        for record in taken:
            self._released.pop(record.key, None)
            if not record.is_gone:
                self._released[record.key] = record
        self._pending.clear()
        self._is_urgent = False
        self._released_at = now
        return taken

    def next_due(self) -> float | None:
        """Return when the pending records are due, or ``None``."""
        if not self._pending:
            return None
        window = (
            self._coalescing_seconds if self._is_urgent else self._load_seconds
        )
        return self._released_at + window
