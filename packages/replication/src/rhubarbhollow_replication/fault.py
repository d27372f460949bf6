"""Typed errors of proposals and membership changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_replication.store_fault import StoreFault


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Nothing was proposed: this replica is not the leader.

    ``leader`` is the leader to retry at, or ``None`` if unknown.
    """

    leader: str | None


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The proposal may or may not take effect, now or later."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """Nothing was proposed: too many requests are pending."""


@dataclass(frozen=True, slots=True)
class PayloadTooLarge:
    """Nothing was proposed: the payload exceeds the size limit."""

    size_bytes: int
    limit_bytes: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Nothing was proposed: the store of this replica failed."""

    fault: StoreFault


@dataclass(frozen=True, slots=True)
class ChangeInFlight:
    """An earlier change or the term's first entry is uncommitted."""


@dataclass(frozen=True, slots=True)
class UnknownMember:
    """The configuration has no member of this name."""

    name: str


@dataclass(frozen=True, slots=True)
class AlreadyMember:
    """The member exists or already has the requested role."""

    name: str


@dataclass(frozen=True, slots=True)
class IsLeader:
    """The leader cannot remove itself."""

    name: str


@dataclass(frozen=True, slots=True)
class NotCaughtUp:
    """The learner lacks committed entries or is not responding."""

    name: str


@dataclass(frozen=True, slots=True)
class QuorumAtRisk:
    """Too few live voters for a quorum before or after the change."""


ProposeFault: TypeAlias = (
    NotLeader | OutcomeUnknown | Overloaded | PayloadTooLarge | StoreFailed
)
ChangeFault: TypeAlias = (
    ProposeFault
    | ChangeInFlight
    | UnknownMember
    | AlreadyMember
    | IsLeader
    | NotCaughtUp
    | QuorumAtRisk
)
