"""Settings of one replica."""

from __future__ import annotations

from dataclasses import dataclass

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Name the replica, its first peers and its time limits.

    ``initial_members`` must be the same at every one of them; it is
    read only while a store is empty. A replica that it does not list
    starts as a learner and waits to be added.
    ``may_form_cluster`` lets empty stores of all the initial members
    start a new history; switched off after the first start, not even
    the loss of all their disks at once can start a second one.
    ``max_clock_drift_ratio`` bounds how much faster one member's clock
    runs than another's, as a share of elapsed time. ``log_name`` tells
    the logs of one process apart in its log events. ``wanted_voters``
    is the number that repairs lead to; 0 stands for that of
    ``initial_members``, and one that is not known to repair nothing.
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
    repair_after_seconds: float = 60.0
    may_form_cluster: bool = True
    log_name: str = "log"
    wanted_voters: int = 0

    def __post_init__(self) -> None:
        if self.heartbeat_ms * 2 > self.election_timeout_ms:
            raise ValueError("heartbeat_ms above half election_timeout_ms")
        if not 0 <= self.max_clock_drift_ratio < 1:
            raise ValueError("max_clock_drift_ratio outside [0, 1)")

    @property
    def election_timeout_seconds(self) -> float:
        """The least time without a leader before an election."""
        return self.election_timeout_ms / MS_PER_SECOND

    @property
    def heartbeat_seconds(self) -> float:
        """The time between the leader's rounds at rest."""
        return self.heartbeat_ms / MS_PER_SECOND

    @property
    def voter_target(self) -> int:
        """The number of voters that repairs lead to; 0 for any."""
        return self.wanted_voters or len(self.initial_members)

    @property
    def lease_seconds(self) -> float:
        """The time for which a confirmed round rules out rivals."""
        kept = 1 - self.max_clock_drift_ratio
        return self.election_timeout_seconds * kept
