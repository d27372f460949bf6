"""A request that was sent ahead of an answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_request_head import RequestHead


@dataclass(slots=True)
class PendingRequest:
    """Hold what has been read of a request that waits for its turn."""

    head: RequestHead
    parts: list[bytes] = field(default_factory=list)
    is_whole: bool = False
