"""Problem documents (RFC 9457) in servers' replies."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

PROBLEM_PREFIX: Final = "urn:rhubarbhollow:problem:"
UNKNOWN_KIND: Final = "unknown"

_STANDARD_MEMBERS: Final = frozenset(("type", "title", "status", "detail"))


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem; ``members`` are its extension members."""

    kind: str
    status: int
    title: str
    detail: str
    members: Mapping[str, object] = field(default_factory=dict)


def read_problem(status: int, body: bytes) -> Problem:
    """Parse a problem document.

    Return a problem of the kind ``unknown`` if the body is not a JSON
    object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        return Problem(UNKNOWN_KIND, status, f"HTTP status {status}", "")
    members = {
        key: value
        for key, value in document.items()
        if key not in _STANDARD_MEMBERS
    }
    return Problem(
        kind=str(document.get("type", "")).removeprefix(PROBLEM_PREFIX)
        or UNKNOWN_KIND,
        status=status,
        title=str(document.get("title", f"HTTP status {status}")),
        detail=str(document.get("detail", "")),
        members=members,
    )
