"""A readable summary of the choice of a source."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SourceView:
    """Explain the choice of the source to an operator."""

    current: str
    dissatisfaction: str
    failed_attempts: int
    suspects: tuple[str, ...]
