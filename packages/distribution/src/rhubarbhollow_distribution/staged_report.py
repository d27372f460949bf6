"""The node's promise that it can activate a release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StagedReport:
    """Promise that the release at ``position`` is staged here.

    The node keeps the promise until it activates that position or a
    higher one, or until its process ends.
    """

    position: int
    digest: bytes
