"""The fault of a release that did not reach all nodes in time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_cli.replies import FleetStatus, NodeProgress


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """Progress of an accepted release at the deadline.

    The release stays accepted, and its distribution continues.
    ``lagging`` contains listed nodes that have not applied it; a node
    whose control instance does not answer is not listed.
    """

    position: int
    last_status: FleetStatus | None
    lagging: tuple[NodeProgress, ...] = ()
