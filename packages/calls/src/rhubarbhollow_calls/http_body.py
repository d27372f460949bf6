"""Framing of message bodies: how the end of a body is determined."""

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
    """The body is sent in chunks and ends with a chunk of size zero."""


Body = NoBody | SizedBody | ChunkedBody

NO_BODY: Final = NoBody()
CHUNKED_BODY: Final = ChunkedBody()
