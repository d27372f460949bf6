"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect


@dataclass(frozen=True, slots=True)
class CallsSettings:
    """Hold the queue limit and the timeouts of calls.

    ``dialect`` and ``origin`` are set by a gateway to another platform
    only: the names of the header fields there, and the name of the
    service beside this node.
    """

    queue_limit: int = 64
    connect_timeout: timedelta = timedelta(milliseconds=1000)
    head_timeout: timedelta = timedelta(milliseconds=10_000)
    unacknowledged: timedelta = timedelta(milliseconds=1000)
    dialect: Dialect = NATIVE_DIALECT
    origin: str = ""
