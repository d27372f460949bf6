"""The answers of a slot gate to a ticket."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class SlotRefusal(Enum):
    """Say why a ticket got neither a slot nor a place in the queue."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    # it would start too late to meet its objective
    TOO_LATE = "too_late"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Admitted:
    """The ticket holds a slot until ``release`` is called."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits; a later ``release`` returns it."""

    waiting: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket was turned away; its call did not run."""

    reason: SlotRefusal


Admission: TypeAlias = Admitted | Queued | Refused
