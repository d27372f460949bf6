"""The message in which a node promises to keep a staged release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StagedReport:
    """Promise that the release at ``position`` is staged here.

    The node keeps the release until it activates that position or a
    higher one, or until its process ends.
    """

    position: int
    digest: bytes
