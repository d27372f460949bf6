"""What a node remembers of calls that it refused."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

MAX_REMEMBERED: Final = 2_048


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """Say why a call was refused, and whether it may have run."""

    at: str
    route: str
    position: int
    upstream: str
    attempts: int
    kind: str
    executed: str
    detail: str


class CallLog:
    """Remember the last refusals by the request's name.

    Answered calls are not remembered: their answers say where they
    went, and remembering them would cost every call.
    """

    def __init__(self, limit: int = MAX_REMEMBERED) -> None:
        self._limit = limit
        self._calls: OrderedDict[bytes, list[RefusedCall]] = OrderedDict()

    def add(self, request_id: bytes, call: RefusedCall) -> None:
        """Remember a refusal; the oldest request gives way."""
        self._calls.setdefault(request_id, []).append(call)
        self._calls.move_to_end(request_id)
        if len(self._calls) > self._limit:
            self._calls.popitem(last=False)

    def find(self, request_id: bytes) -> tuple[RefusedCall, ...]:
        """Return the refusals of a request, the oldest first."""
        return tuple(self._calls.get(request_id, ()))
