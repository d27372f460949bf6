"""Message of a voter that is about to stop."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Request to the leader to replace a member that will stop.

    The member repeats it until it is no voter or has stopped.
    """

    member: str
