"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect


@dataclass(frozen=True, slots=True)
class CallsSettings:
    """Bound the queue and the times of calls.

    ``dialect`` and ``origin`` are set by a gateway to another platform:
    the names of the fields there, and the service beside this node.
    """

    queue_limit: int = 64
    connect_timeout: timedelta = timedelta(milliseconds=1000)
    head_timeout: timedelta = timedelta(milliseconds=10_000)
    unacknowledged: timedelta = timedelta(milliseconds=1000)
    dialect: Dialect = NATIVE_DIALECT
    origin: str = ""
