"""Settings of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Bound the steps of a graceful shutdown.

    After ``spread`` no node routes new work here any more; calls in
    flight then have ``budget`` to end.
    """

    spread: timedelta = timedelta(milliseconds=2000)
    budget: timedelta = timedelta(milliseconds=30_000)
