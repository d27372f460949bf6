"""Typed refusals of proposals and membership changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_replication.store_fault import StoreFault


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Nothing was proposed; ``leader`` may know better."""

    leader: str | None


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The proposal may or may not take effect, now or later."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """Nothing was proposed: too many proposals are pending."""


@dataclass(frozen=True, slots=True)
class PayloadTooLarge:
    """Nothing was proposed: no entry may be this large."""

    size_bytes: int
    limit_bytes: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Nothing was proposed: the store of this replica failed."""

    fault: StoreFault


@dataclass(frozen=True, slots=True)
class ChangeInFlight:
    """An earlier change, or the term's first entry, must commit."""


@dataclass(frozen=True, slots=True)
class UnknownMember:
    """The configuration has no such member for this change."""

    name: str


@dataclass(frozen=True, slots=True)
class AlreadyMember:
    """The change is in force: the member already has that role."""

    name: str


@dataclass(frozen=True, slots=True)
class IsLeader:
    """The leader does not remove itself."""

    name: str


@dataclass(frozen=True, slots=True)
class NotCaughtUp:
    """The learner lacks committed entries or was not heard."""

    name: str


@dataclass(frozen=True, slots=True)
class QuorumAtRisk:
    """Too few of the voters that would remain were heard lately."""


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
