"""How the end of a message's body is known."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class NoBody:
    """The message ends with its head."""


@dataclass(frozen=True, slots=True)
class SizedBody:
    """The body has exactly ``length`` bytes."""

    length: int


@dataclass(frozen=True, slots=True)
class ChunkedBody:
    """The body ends with an empty chunk."""


Body = NoBody | SizedBody | ChunkedBody

NO_BODY: Final = NoBody()
CHUNKED_BODY: Final = ChunkedBody()
