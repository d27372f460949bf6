"""How the submission of a document ended."""

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
    """Tell what became of a document, and why.

    ``UNAVAILABLE`` means that nothing was accepted, ``UNKNOWN`` that
    the document may or may not have been.
    """

    verdict: DocumentVerdict
    detail: str
