"""Why a node did not stage a release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_release.approval_fault import ApprovalFault
    from rhubarbhollow_release.difference_fault import DifferenceFault
    from rhubarbhollow_release.manifest_fault import ManifestFaults


@dataclass(frozen=True, slots=True)
class NeedsDifference:
    """The base is not held here; ask for one against what is."""

    held_position: int
    held_digest: bytes


@dataclass(frozen=True, slots=True)
class StalePosition:
    """The position is below the one in force."""

    position: int
    active_position: int


@dataclass(frozen=True, slots=True)
class ConflictingDigest:
    """Two contents were sent for one position."""

    position: int
    held_digest: bytes
    sent_digest: bytes


@dataclass(frozen=True, slots=True)
class StagingFull:
    """Staging one more would break the promise to keep the others."""

    staged_positions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ApprovalRefused:
    """The approval does not cover this content; ``cause`` says why."""

    position: int
    cause: ApprovalFault


@dataclass(frozen=True, slots=True)
class DifferenceRefused:
    """The difference is damaged or does not lead to the digest."""

    position: int
    cause: DifferenceFault


@dataclass(frozen=True, slots=True)
class HeaderMismatch:
    """The content is of another mesh or version than was announced."""

    position: int
    mesh: str
    version: int


@dataclass(frozen=True, slots=True)
class ReleaseNotClosed:
    """The content is not a whole, valid manifest."""

    position: int
    cause: ManifestFaults


StageFault: TypeAlias = (
    NeedsDifference
    | StalePosition
    | ConflictingDigest
    | StagingFull
    | ApprovalRefused
    | DifferenceRefused
    | HeaderMismatch
    | ReleaseNotClosed
)
