"""Outcomes and errors of an activation request on a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Activated:
    """Success: the release is now in force."""

    position: int
    previous_position: int


@dataclass(frozen=True, slots=True)
class AlreadyActive:
    """Success: this or a higher position was already in force."""

    active_position: int


@dataclass(frozen=True, slots=True)
class NotStaged:
    """Error: the release is not staged on this node.

    The node then requests a difference against ``held_digest``.
    """

    position: int
    held_position: int
    held_digest: bytes


@dataclass(frozen=True, slots=True)
class ActivationDigestMismatch:
    """Error: the request names a digest other than the held one."""

    position: int
    held_digest: bytes
    sent_digest: bytes


ActivateOutcome: TypeAlias = Activated | AlreadyActive
ActivateFault: TypeAlias = NotStaged | ActivationDigestMismatch
