"""A summary of a node's choice of its control instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SourceView:
    """Summarise the state of a ``SourceChooser`` for operators.

    ``dissatisfaction`` is the reason to replace the current source, or
    empty.
    """

    current: str
    dissatisfaction: str
    failed_attempts: int
    suspects: tuple[str, ...]
