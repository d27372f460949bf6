"""Outcomes of the commands that the ledger applies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from rhubarbhollow_release.approval_fault import ApprovalFault
from rhubarbhollow_release.difference_fault import DifferenceFault
from rhubarbhollow_release.manifest_fault import ManifestFaults

RefusalFault: TypeAlias = ApprovalFault | DifferenceFault | ManifestFaults


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report that a release was accepted and assigned a position."""

    position: int
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """Report that the same version and digest were accepted before.

    The fields repeat those of the first answer.
    """

    position: int
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Report that another release was accepted with the version."""

    version: int
    winner_digest: bytes
    winner_position: int


@dataclass(frozen=True, slots=True)
class StaleVersion:
    """Report that a higher version has been accepted before."""

    version: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Report that the version is older than all stored records.

    It is no longer known whether the version was accepted.
    """

    version: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the submission itself is invalid."""

    fault: RefusalFault


@dataclass(frozen=True, slots=True)
class BaseMoved:
    """Report that the difference is not based on the latest release.

    The submission must be planned again on the latest release.
    """

    latest_digest: bytes


@dataclass(frozen=True, slots=True)
class Activated:
    """Report that a release was put in force."""

    position: int


@dataclass(frozen=True, slots=True)
class AlreadyActivated:
    """Report that this release or a later one is already in force."""

    position: int
    active_position: int


@dataclass(frozen=True, slots=True)
class NotActivatable:
    """Report that no release has been accepted at the position."""

    position: int
    latest_position: int


SubmissionOutcome: TypeAlias = (
    Accepted
    | AlreadyAccepted
    | VersionConflict
    | StaleVersion
    | Superseded
    | Refused
    | BaseMoved
)
ActivationOutcome: TypeAlias = Activated | AlreadyActivated | NotActivatable
Outcome: TypeAlias = SubmissionOutcome | ActivationOutcome
