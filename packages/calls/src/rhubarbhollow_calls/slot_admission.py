"""The results of asking a slot gate to admit a ticket."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class SlotRefusal(Enum):
    """State why a ticket was neither admitted nor queued."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    # The call would start too late to meet its latency objective.
    TOO_LATE = "too_late"
    # The call would be cut off by its deadline before it ends.
    CANNOT_END = "cannot_end"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Admitted:
    """The ticket holds a slot until ``release`` is called."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits; a later ``release`` returns it.

    ``waiting`` is the length of the queue, including the ticket.
    """

    waiting: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The ticket was rejected; its call did not run."""

    reason: SlotRefusal


Admission: TypeAlias = Admitted | Queued | Refused
