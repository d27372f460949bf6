"""What the choice of an upstream needs to know of a call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallKind:
    """Name a call's route, its objective and what is left of it."""

    route: str
    objective_seconds: float
    left_seconds: float
