"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CallsSettings:
    """Bound the queue and the times of calls."""

    queue_limit: int = 64
    connect_timeout: timedelta = timedelta(milliseconds=1000)
    head_timeout: timedelta = timedelta(milliseconds=10_000)
