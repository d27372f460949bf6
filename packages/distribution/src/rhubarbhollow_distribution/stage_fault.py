"""Errors that prevent a node from staging a release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_release.approval_fault import ApprovalFault
    from rhubarbhollow_release.difference_fault import DifferenceFault
    from rhubarbhollow_release.manifest_fault import ManifestFaults


@dataclass(frozen=True, slots=True)
class NeedsDifference:
    """Error: the base of the difference is not held on this node.

    The node then requests a difference against ``held_digest``.
    """

    held_position: int
    held_digest: bytes


@dataclass(frozen=True, slots=True)
class StalePosition:
    """Error: the position is below the active position."""

    position: int
    active_position: int


@dataclass(frozen=True, slots=True)
class ConflictingDigest:
    """Error: different contents were sent for the same position."""

    position: int
    held_digest: bytes
    sent_digest: bytes


@dataclass(frozen=True, slots=True)
class ApprovalRefused:
    """Error: the approval does not cover this content."""

    position: int
    cause: ApprovalFault


@dataclass(frozen=True, slots=True)
class DifferenceRefused:
    """Error: the difference is corrupt or yields another digest."""

    position: int
    cause: DifferenceFault


@dataclass(frozen=True, slots=True)
class HeaderMismatch:
    """Error: digest, mesh or version of the content is not as sent.

    ``mesh`` and ``version`` are those of the content.
    """

    position: int
    mesh: str
    version: int


@dataclass(frozen=True, slots=True)
class ReleaseNotClosed:
    """Error: the content is not a complete, valid manifest."""

    position: int
    cause: ManifestFaults


StageFault: TypeAlias = (
    NeedsDifference
    | StalePosition
    | ConflictingDigest
    | ApprovalRefused
    | DifferenceRefused
    | HeaderMismatch
    | ReleaseNotClosed
)
