"""What the ledger answers to a command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from rhubarbhollow_release.approval_fault import ApprovalFault
from rhubarbhollow_release.difference_fault import DifferenceFault
from rhubarbhollow_release.manifest_fault import ManifestFaults

RefusalFault: TypeAlias = ApprovalFault | DifferenceFault | ManifestFaults


@dataclass(frozen=True, slots=True)
class Accepted:
    """Say that a release got a position."""

    position: int
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """Repeat the first answer to the same version and digest."""

    position: int
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Name the release that already has the version."""

    version: int
    winner_digest: bytes
    winner_position: int


@dataclass(frozen=True, slots=True)
class StaleVersion:
    """Say that a higher version has been accepted."""

    version: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Say that the version is older than the answers that are kept.

    Whether it was accepted in its time is no longer known.
    """

    version: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Say what is wrong with the submission itself."""

    fault: RefusalFault


@dataclass(frozen=True, slots=True)
class BaseMoved:
    """Say that the difference starts from another release.

    Planning the submission again mends this.
    """

    latest_digest: bytes


@dataclass(frozen=True, slots=True)
class Activated:
    """Say that a release came into force."""

    position: int


@dataclass(frozen=True, slots=True)
class AlreadyActivated:
    """Say that this release or a later one is in force."""

    position: int
    active_position: int


@dataclass(frozen=True, slots=True)
class NotActivatable:
    """Say that no release has been accepted at the position."""

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
