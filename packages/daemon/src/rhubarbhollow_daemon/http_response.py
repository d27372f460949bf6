"""HTTP responses of the admin port."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

JSON_TYPE: Final = "application/json"
PROBLEM_TYPE: Final = "application/problem+json"
PROBLEM_PREFIX: Final = "urn:rhubarbhollow:problem:"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold a complete response; the body is not printed."""

    status: int
    body: bytes = field(repr=False)
    content_type: str = JSON_TYPE


def answer_json(document: object, status: int = 200) -> HttpResponse:
    """Return a response with ``document`` as its JSON body."""
    return HttpResponse(status, encode_json(document))


def answer_problem(
    kind: str,
    status: int,
    detail: str,
    members: Mapping[str, object] | None = None,
) -> HttpResponse:
    """Return a response with an RFC 9457 problem document.

    ``kind`` completes its type URN; ``members`` are extension members.
    """
    document = {
        "type": f"{PROBLEM_PREFIX}{kind}",
        "title": kind.replace("_", " "),
        "status": int(status),
        "detail": detail,
        **(members or {}),
    }
    return HttpResponse(int(status), encode_json(document), PROBLEM_TYPE)


def encode_json(document: object) -> bytes:
    """Return ``document`` as JSON without optional white space."""
    return json.dumps(document, separators=(",", ":")).encode()
