"""A request to the admin port."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class NotJson:
    """The body is no JSON object."""

    detail: str


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one request whole; its size is bounded by the server.

    Names of ``headers`` are in lower case.
    """

    method: str
    path: str
    query: str
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)

    def argument(self, name: str) -> str | None:
        """Return the first value of a query argument."""
        values = parse_qs(self.query).get(name)
        return values[0] if values else None

    def json_object(self) -> Result[Mapping[str, object], NotJson]:
        """Return the body as a JSON object."""
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            return Err(NotJson(str(error)))
        if not isinstance(document, dict):
            return Err(NotJson("the body is not an object"))
        return Ok(document)
