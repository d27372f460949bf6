"""Settings of logging."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogsSettings:
    """Hold the minimum level of the events that are logged."""

    level: str = "info"
