"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CallsSettings:
    """Bound the queues, times and heads of calls."""

    queue_limit: int = 64
    default_timeout: timedelta = timedelta(milliseconds=15_000)
    connect_timeout: timedelta = timedelta(milliseconds=1000)
    head_timeout: timedelta = timedelta(milliseconds=10_000)
    max_head_bytes: int = 32_768
    retry_budget_minimum: int = 3
    slow_start: timedelta = timedelta(seconds=10)
