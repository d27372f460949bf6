"""What a quarantine says about a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may run; ``epoch`` goes back with its end."""

    epoch: int


@dataclass(frozen=True, slots=True)
class HeldSuspect:
    """Another suspect runs here; this one has to run apart from it."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request crashed upstreams and is refused for a while."""

    crashes: int
    remaining_seconds: float


QuarantineVerdict: TypeAlias = MayRun | HeldSuspect | Quarantined
