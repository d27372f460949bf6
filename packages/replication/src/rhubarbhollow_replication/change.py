"""Changes of the membership, one member at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Start replicating to a member that has no vote."""

    name: str


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Give a caught-up learner a vote."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Stop replicating to a member and take its vote."""

    name: str


MembershipChange: TypeAlias = AddLearner | PromoteLearner | RemoveMember
