"""The message in which a node reports its active release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ActiveReport:
    """Report that the release at ``position`` is in force."""

    position: int
