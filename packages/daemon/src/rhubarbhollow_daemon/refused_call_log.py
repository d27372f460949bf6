"""A bounded log of the calls that a node refused."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

MAX_REQUESTS: Final = 2_048


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """Describe why a call was refused and whether it may have run.

    ``at`` is an ISO 8601 time in UTC.
    """

    at: str
    route: str
    position: int
    upstream: str
    attempts: int
    kind: str
    executed: str
    detail: str


class RefusedCallLog:
    """Keep the refusals of recent requests by request id.

    Answered calls are not kept: their answers name the upstream that
    served them, and keeping them would add a cost to every call.
    """

    def __init__(self, limit: int = MAX_REQUESTS) -> None:
        self._limit = limit
        self._calls: OrderedDict[bytes, list[RefusedCall]] = OrderedDict()

    def add(self, request_id: bytes, call: RefusedCall) -> None:
        """Add a refusal; evict the oldest request beyond the limit."""
        self._calls.setdefault(request_id, []).append(call)
        self._calls.move_to_end(request_id)
        if len(self._calls) > self._limit:
            self._calls.popitem(last=False)

    def find(self, request_id: bytes) -> tuple[RefusedCall, ...]:
        """Return the refusals of a request, oldest first."""
        return tuple(self._calls.get(request_id, ()))
