"""Settings of a control instance."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Hold what an instance with a disk needs to keep releases.

    ``members`` are the names of the first voters.  ``staging_deadline``
    bounds how long a slow or cut-off node delays an activation.
    ``may_form`` lets empty stores of all members start a new history.
    ``wanted_voters`` is the size that the group is kept at, 0 that of
    ``members``.  ``keeps_claims`` runs the log of non-idempotent
    requests with keys.
    """

    data_folder: Path
    members: tuple[str, ...]
    election_timeout: timedelta = timedelta(milliseconds=1000)
    heartbeat: timedelta = timedelta(milliseconds=150)
    staging_deadline: timedelta = timedelta(milliseconds=2000)
    snapshot_after_entries: int = 4096
    repair_after: timedelta = timedelta(seconds=30)
    admission_per_second: float = 200.0
    may_form: bool = True
    keeps_claims: bool = True
    wanted_voters: int = 0
