"""The results of asking a slot gate to admit a ticket."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class SlotRefusal(Enum):
    """State why a ticket was neither admitted nor queued."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    # The call would start too late to meet its latency objective, or
    # its deadline if it is interactive.
    TOO_LATE = "too_late"
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
