"""A call's request for a slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for a slot until ``deadline``, in monotonic seconds.

    ``call_id`` is unique among the calls of one node.
    """

    priority: CallPriority
    deadline: float
    call_id: int
