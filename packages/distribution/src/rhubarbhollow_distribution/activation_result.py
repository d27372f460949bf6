"""What came of an order to put a release in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Activated:
    """The release is in force from now on."""

    position: int
    previous_position: int


@dataclass(frozen=True, slots=True)
class AlreadyActive:
    """This or a higher position was in force; nothing changed."""

    active_position: int


@dataclass(frozen=True, slots=True)
class NotStaged:
    """The release is not staged here; ask for a difference."""

    position: int
    held_position: int
    held_digest: bytes


@dataclass(frozen=True, slots=True)
class ActivationDigestMismatch:
    """The order names another content than the one held."""

    position: int
    held_digest: bytes
    sent_digest: bytes


ActivateOutcome: TypeAlias = Activated | AlreadyActive
ActivateFault: TypeAlias = NotStaged | ActivationDigestMismatch
