"""An accepted release that was not seen in force everywhere."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_cli.replies import FleetStatus


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """Say how far an accepted release had come at the deadline.

    The release stays accepted and goes on spreading.
    """

    position: int
    last_status: FleetStatus | None
