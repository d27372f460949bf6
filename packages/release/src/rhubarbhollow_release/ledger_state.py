"""What a snapshot of the ledger holds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.kept_release import KeptRelease
    from rhubarbhollow_release.release_record import ReleaseRecord


@dataclass(frozen=True, slots=True)
class LedgerState:
    """Hold the whole replicated state.

    ``records`` and ``releases`` rise by position, the last of each is
    the latest release.  Versions up to ``forgotten_version`` have left
    the records.
    """

    mesh: str
    active_position: int = 0
    forgotten_version: int = 0
    records: tuple[ReleaseRecord, ...] = ()
    releases: tuple[KeptRelease, ...] = ()
