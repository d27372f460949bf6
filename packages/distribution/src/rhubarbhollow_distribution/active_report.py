"""The node's report of the release that it has activated."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ActiveReport:
    """Tell that the release at ``position`` is in force on the node."""

    position: int
