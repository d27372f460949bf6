"""What burn is counted for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BurnScope(Enum):
    """Name the kind of thing that calls are counted by."""

    SERVICE = "service"
    ROUTE = "route"
    UPSTREAM = "upstream"
    POSITION = "position"


@dataclass(frozen=True, slots=True)
class BurnSubject:
    """Name one thing that calls are counted by."""

    scope: BurnScope
    name: str
