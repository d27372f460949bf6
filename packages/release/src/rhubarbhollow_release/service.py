"""Services of a mesh."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.objectives import Objectives


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service, the services it calls and its fallback.

    ``depends_on`` is sorted and has no duplicates.  Nodes do not
    interpret ``annotation``.
    """

    name: str
    depends_on: tuple[str, ...] = ()
    fallback: str | None = None
    objectives: Objectives | None = None
    annotation: str = ""
