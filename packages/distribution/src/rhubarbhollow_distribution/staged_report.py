"""The message in which a node promises to keep a staged release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StagedReport:
    """Promise that the release at ``position`` is staged here.

    The node keeps the release until it activates that position or a
    higher one, until its process ends, or until it needs the room for
    another one (see ``MAX_STAGED_RELEASES``). In the last case it
    requests the release again if it is told to activate it.
    """

    position: int
    digest: bytes
