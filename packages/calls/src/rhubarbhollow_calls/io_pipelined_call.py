"""Pipelined requests that are queued on a connection."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_request_head import RequestHead


@dataclass(slots=True)
class PendingRequest:
    """Hold the part of a queued request that has been read."""

    head: RequestHead
    parts: list[bytes] = field(default_factory=list)
    is_whole: bool = False
