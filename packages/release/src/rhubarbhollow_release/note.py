"""A text that a release carries and that no node interprets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Note:
    """Keep ``text`` under ``name`` with the release.

    A gateway that accepts manifests in another format keeps here what
    it needs to give the submitted document back unchanged.
    """

    name: str
    text: str
