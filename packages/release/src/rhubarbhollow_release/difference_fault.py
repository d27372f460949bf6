"""Why a difference cannot be read or applied."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DifferenceFaultKind(StrEnum):
    """Classify a difference's fault."""

    BASE_MISMATCH = "base_mismatch"
    MISSING_REMOVAL = "missing_removal"
    TARGET_MISMATCH = "target_mismatch"
    TOO_LARGE = "too_large"
    OTHER_MESH = "other_mesh"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class DifferenceFault:
    """Name a fault; on one, the base stays as it is."""

    kind: DifferenceFaultKind
    detail: str
