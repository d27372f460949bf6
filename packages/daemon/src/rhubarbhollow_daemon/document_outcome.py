"""The outcome of a submitted document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class DocumentVerdict(IntEnum):
    """Classify an outcome; the value is stable on the wire."""

    ACCEPTED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5


@dataclass(frozen=True, slots=True)
class DocumentOutcome:
    """Hold the verdict on a submitted document and its reason.

    ``UNAVAILABLE`` means that nothing was accepted, ``UNKNOWN`` that
    the document may or may not have been accepted.
    """

    verdict: DocumentVerdict
    detail: str
