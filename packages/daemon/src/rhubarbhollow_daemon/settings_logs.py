"""Settings of the logs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogsSettings:
    """Set the lowest level that is logged."""

    level: str = "info"
