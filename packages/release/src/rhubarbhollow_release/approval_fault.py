"""Reasons for rejecting an approval."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ApprovalFaultKind(StrEnum):
    """Classify the reason for rejecting an approval."""

    UNKNOWN_KEY = "unknown_key"
    OTHER_MESH = "other_mesh"
    OTHER_VERSION = "other_version"
    OTHER_DIGEST = "other_digest"
    BAD_SIGNATURE = "bad_signature"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ApprovalFault:
    """Describe why an approval is rejected.

    ``detail`` is the offending value or a short explanation.
    """

    kind: ApprovalFaultKind
    detail: str
