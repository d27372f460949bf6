"""The rule for the first position of a node without a release."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.ledger_view import LedgerView

# Wait after the hello before a start that no quorum has confirmed.
ISOLATION_WAIT_SECONDS: Final = 5.0


class StartRule:
    """Decide at which position a node without a release may start.

    Before its restart the node may have applied a release, and it must
    not start below that position.  With a fresh control instance, it
    starts once every release accepted before its hello is in force,
    since no node can have applied a higher position.  With an instance
    that no quorum has confirmed, it starts only in the instance's own
    data centre, after a wait, and at the recorded floor, which covers
    every release that the instance has ever offered.
    """

    def __init__(
        self,
        *,
        is_own_data_centre: bool,
        hello_at: float,
        wait_seconds: float = ISOLATION_WAIT_SECONDS,
    ) -> None:
        self._is_own_data_centre = is_own_data_centre
        self._hello_at = hello_at
        self._wait_seconds = wait_seconds
        self._required: int | None = None

    def maybe_start(self, ledger: LedgerView, now: float) -> int | None:
        """Return the position to start at, or ``None`` to wait."""
        if self._is_confirmed(ledger):
            return self._start_fresh(ledger)
        if not self._is_own_data_centre:
            return None
        if now - self._hello_at < self._wait_seconds:
            return None
        return _start_isolated(ledger)

    def _is_confirmed(self, ledger: LedgerView) -> bool:
        # A confirmation that began before or at the time of the hello
        # may not include a release that this node applied just before
        # it restarted.
        return (
            ledger.is_fresh
            and ledger.confirmed_at is not None
            and ledger.confirmed_at > self._hello_at
        )

    def _start_fresh(self, ledger: LedgerView) -> int | None:
        if self._required is None:
            self._required = ledger.latest_position
        if ledger.active_position < self._required:
            return None
        return ledger.active_position or None


def _start_isolated(ledger: LedgerView) -> int | None:
    floor = ledger.recorded_floor
    # A floor above the latest position was reported by a node that
    # received the release from another instance; this instance does not
    # have it.
    if floor == 0 or floor > ledger.latest_position:
        return None
    return floor
