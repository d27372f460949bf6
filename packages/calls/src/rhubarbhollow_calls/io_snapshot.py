"""The release on which a call begins and ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.route_table import RouteTable


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold one release's routes with the position it came in force at.

    A node swaps the whole snapshot; a call keeps the one it began on.
    """

    position: int
    route_table: RouteTable
