"""The message that activates a staged release on a node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Activate:
    """Instruct the node to activate the release at ``position``."""

    position: int
    digest: bytes
