"""Where a node that remembers nothing may start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.ledger_view import LedgerView

ISOLATION_WAIT_SECONDS: Final = 5.0


class StartRule:
    """Decide at which position a node without memory may start.

    From a fresh control instance the node starts once everything that
    was accepted before its hello is in force: no node can have applied
    more than that.  From an instance that a quorum has not confirmed it
    starts only in the instance's own data centre, only after a wait,
    and at the recorded floor, which covers every release that the
    instance ever offered.
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
        """Return the position to start at, or none to wait."""
        if self._is_confirmed(ledger):
            return self._start_fresh(ledger)
        if not self._is_own_data_centre:
            return None
        if now - self._hello_at < self._wait_seconds:
            return None
        return _start_isolated(ledger)

    def _is_confirmed(self, ledger: LedgerView) -> bool:
        # A confirmation that began no later than the hello may miss
        # what this node applied just before it ended.
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
    # A floor above the ledger was reported by a node that was fed
    # elsewhere: this instance does not have that release.
    if floor == 0 or floor > ledger.latest_position:
        return None
    return floor
