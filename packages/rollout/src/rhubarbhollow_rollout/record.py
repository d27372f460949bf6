"""The replicated record of the latest rollout of a service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RolloutState(StrEnum):
    """Classify a rollout; the value is shown to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self is not RolloutState.RUNNING


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Describe the latest rollout of one service.

    ``number`` identifies the rollout among all of the mesh and
    ``revision`` rises with each change of any rollout, so that the
    later of two views of a service is known. ``stable_version`` is the
    version that the last completed rollout moved to, or empty.
    ``share_permille`` is the share of calls that nodes may send to the
    new version while the rollout runs, and ``step`` chooses which of
    its upstreams receive them. ``elapsed_ms`` is the age of the order
    at the last change, as its proposer measured it.
    """

    service: str
    new_version: str
    duration_ms: int
    ordered_at_ms: int
    number: int
    revision: int
    state: RolloutState = RolloutState.RUNNING
    stable_version: str = ""
    share_permille: int = 0
    step: int = 0
    elapsed_ms: int = 0

    @property
    def is_running(self) -> bool:
        """Return whether the rollout has no outcome yet."""
        return not self.state.is_final
