"""Membership changes, each of which affects a single member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a non-voting member and start replicating to it."""

    name: str


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Turn a caught-up learner into a voter."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a member and stop replicating to it."""

    name: str


MembershipChange: TypeAlias = AddLearner | PromoteLearner | RemoveMember
