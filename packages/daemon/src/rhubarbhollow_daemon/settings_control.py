"""Settings of a control instance."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Hold the settings of an instance that stores releases on disk.

    ``members`` are the names of the initial voters.
    ``staging_deadline`` bounds how long a slow or unreachable node
    delays an activation.  ``may_form`` allows the members to start a
    new history if all their stores are empty.  ``wanted_voters`` is the
    number of voters to maintain; 0 means the number of ``members``.
    ``handover`` bounds how long a stopping voter waits for a successor.
    ``keeps_claims`` enables the log of claims, for non-idempotent
    requests with keys.
    """

    data_folder: Path
    members: tuple[str, ...]
    election_timeout: timedelta = timedelta(milliseconds=1000)
    heartbeat: timedelta = timedelta(milliseconds=150)
    staging_deadline: timedelta = timedelta(milliseconds=2000)
    snapshot_after_entries: int = 4096
    repair_after: timedelta = timedelta(seconds=5)
    admission_per_second: float = 200.0
    may_form: bool = True
    keeps_claims: bool = True
    wanted_voters: int = 0
    handover: timedelta = timedelta(seconds=2)
