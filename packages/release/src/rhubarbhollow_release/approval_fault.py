"""Why an approval is refused."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ApprovalFaultKind(StrEnum):
    """Classify an approval's fault."""

    UNKNOWN_KEY = "unknown_key"
    OTHER_MESH = "other_mesh"
    OTHER_VERSION = "other_version"
    OTHER_DIGEST = "other_digest"
    BAD_SIGNATURE = "bad_signature"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ApprovalFault:
    """Name a fault of an approval."""

    kind: ApprovalFaultKind
    detail: str
