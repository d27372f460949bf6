"""The replicated state of the ledger, as snapshots store it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.release_record import ReleaseRecord
    from rhubarbhollow_release.retained_release import RetainedRelease


@dataclass(frozen=True, slots=True)
class LedgerState:
    """Store the whole replicated state.

    ``records`` and ``releases`` are in ascending order of position, and
    both end with the latest release.  The records of versions up to
    ``forgotten_version`` have been evicted.
    """

    mesh: str
    active_position: int = 0
    forgotten_version: int = 0
    records: tuple[ReleaseRecord, ...] = ()
    releases: tuple[RetainedRelease, ...] = ()
