"""The verdicts of a quarantine on a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may run.

    ``epoch`` has to be passed back when the request ends.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class DeferredSuspect:
    """The request is refused while another suspect runs here."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is refused because upstreams crashed while it ran.

    ``remaining_seconds`` is the time until the quarantine ends.
    """

    crashes: int
    remaining_seconds: float


QuarantineVerdict: TypeAlias = MayRun | DeferredSuspect | Quarantined
