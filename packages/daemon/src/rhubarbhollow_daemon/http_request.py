"""An HTTP request to the admin port."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NoReturn
from urllib.parse import parse_qs

from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class InvalidJsonBody:
    """Describe why a request body is not a JSON object."""

    detail: str


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold a complete request.

    The server bounds the size of the body, which is not printed: it may
    hold keys. ``query`` is the raw query
    string; the names in ``headers`` are in lower case.
    """

    method: str
    path: str
    query: str
    body: bytes = field(repr=False)
    headers: Mapping[str, str] = field(default_factory=dict)

    def query_parameter(self, name: str) -> str | None:
        """Return the first value of a query parameter, or ``None``."""
        values = parse_qs(self.query).get(name)
        return values[0] if values else None

    def json_object(self) -> Result[Mapping[str, object], InvalidJsonBody]:
        """Return the body as a JSON object, or why it is not one."""
        try:
            document = json.loads(self.body, parse_constant=_refuse_constant)
        except (ValueError, RecursionError) as error:
            return Err(InvalidJsonBody(str(error)))
        if not isinstance(document, dict):
            return Err(InvalidJsonBody("the body is not a JSON object"))
        return Ok(document)


def _refuse_constant(name: str) -> NoReturn:
    """Refuse NaN and the infinities, which JSON does not have.

    NaN would pass a check against any bound.
    """
    raise ValueError(f"{name} is not a JSON value")
