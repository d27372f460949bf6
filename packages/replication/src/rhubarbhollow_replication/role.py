"""Roles of a replica."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a replica in its term.

    FAILED means that its store failed: the replica neither votes nor
    acknowledges entries until the process is restarted.
    """

    FOLLOWER = "follower"
    LEARNER = "learner"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
