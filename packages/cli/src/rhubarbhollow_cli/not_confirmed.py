"""An accepted release that was not seen in force everywhere."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_cli.replies import FleetStatus, NodeProgress


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """Say how far an accepted release had come at the deadline.

    The release stays accepted and goes on spreading.  ``lagging`` names
    the listed nodes without it; a node whose control instance does not
    answer is not listed.
    """

    position: int
    last_status: FleetStatus | None
    lagging: tuple[NodeProgress, ...] = ()
