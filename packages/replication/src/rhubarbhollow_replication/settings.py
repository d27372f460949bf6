"""Settings of one replica."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000


def no_place(name: str) -> str:  # noqa: ARG001
    """Return that the place of a member is unknown."""
    return ""


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """The name, initial members and limits of a replica.

    ``initial_members`` must be the same on all initial members and is
    used only while a store is empty. A replica that is not listed
    starts as a learner and waits to be added.
    ``may_form_cluster`` allows the initial members to start a new log
    if all their stores are empty. If it is disabled after the first
    start, a second log cannot be started even if all members lose
    their disks at once. Neither is used by a store that was formatted
    with a record of the initial members (``formation.py``).
    ``max_clock_drift_ratio`` bounds how much faster one member's clock
    runs than another's, as a fraction of elapsed time. ``log_name``
    identifies the replicated log in log events of the process.
    ``wanted_voters`` is the number of voters that repairs aim for. If
    it is 0, the number of ``initial_members`` is used; if that is 0 as
    well, the number is unknown and repairs only rebind members that
    lost their store. ``place_of`` returns the place of a member, all
    members of which may be lost at once, or ``""`` if it is unknown.
    """

    name: str
    initial_members: tuple[str, ...]
    election_timeout_ms: int = 1000
    heartbeat_ms: int = 200
    max_clock_drift_ratio: float = 0.05
    snapshot_after_entries: int = 10_000
    snapshot_after_bytes: int = 8 * 1024 * 1024
    max_batch_bytes: int = 256 * 1024
    max_pending_proposals: int = 1024
    repair_after_seconds: float = 5.0
    may_form_cluster: bool = True
    log_name: str = "log"
    wanted_voters: int = 0
    place_of: Callable[[str], str] = no_place

    def __post_init__(self) -> None:
        if self.heartbeat_ms * 2 > self.election_timeout_ms:
            raise ValueError(
                "heartbeat_ms must be at most half of election_timeout_ms"
                f" ({self.election_timeout_ms}), got {self.heartbeat_ms}"
            )
        if not 0 <= self.max_clock_drift_ratio < 1:
            raise ValueError(
                "max_clock_drift_ratio must be in [0, 1), got"
                f" {self.max_clock_drift_ratio}"
            )

    @property
    def election_timeout_seconds(self) -> float:
        """The minimum time without a leader before an election."""
        return self.election_timeout_ms / MS_PER_SECOND

    @property
    def heartbeat_seconds(self) -> float:
        """The interval between the rounds of an idle leader."""
        return self.heartbeat_ms / MS_PER_SECOND

    @property
    def voter_target(self) -> int:
        """The number of voters that repairs aim for; 0 if unknown."""
        return self.wanted_voters or len(self.initial_members)

    @property
    def lease_seconds(self) -> float:
        """The duration of a lease, counted from a confirmed round."""
        safe_ratio = 1 - self.max_clock_drift_ratio
        return self.election_timeout_seconds * safe_ratio
