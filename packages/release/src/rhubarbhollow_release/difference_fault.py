"""Reasons why a difference cannot be decoded or applied."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DifferenceFaultKind(StrEnum):
    """Classify the reason why a difference is rejected."""

    BASE_MISMATCH = "base_mismatch"
    MISSING_REMOVAL = "missing_removal"
    TARGET_MISMATCH = "target_mismatch"
    TOO_LARGE = "too_large"
    OTHER_MESH = "other_mesh"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class DifferenceFault:
    """Describe why a difference was rejected; its base is unchanged."""

    kind: DifferenceFaultKind
    detail: str
