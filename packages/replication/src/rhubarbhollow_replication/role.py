"""The part that a replica plays."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Say what a replica does in its term.

    FAILED means that its store failed: it neither votes nor
    acknowledges until the process is started again.
    """

    FOLLOWER = "follower"
    LEARNER = "learner"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
