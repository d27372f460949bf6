"""The lanes in which calls wait for a slot."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class CallLane(NamedTuple):
    """Group calls that are served in the order of their arrival.

    Lower fields are more urgent. ``tenant_priority`` takes precedence
    over ``priority`` (interactive or bulk), which takes precedence over
    ``rank``. ``is_fresh`` is false for a call that belongs to work that
    has begun elsewhere.
    """

    tenant_priority: int
    priority: int
    rank: int
    is_fresh: bool
    objective_ms: int

    @property
    def urgency(self) -> tuple[int, int, int]:
        """Return the fields that make one lane more urgent."""
        return self[:3]

    @property
    def route_urgency(self) -> tuple[int, int]:
        """Return what makes the route more urgent, for any tenant."""
        return self[1:3]


class WaitingCall(Protocol):
    """What the order of the queue depends on, for one call.

    ``service_seconds`` is the expected time in a slot, or 0 if it is
    unknown. A call that starts after ``start_by`` is expected to miss
    its latency objective, and one that starts after ``latest_start``
    its ``deadline``; all are in monotonic seconds.
    """

    @property
    def call_id(self) -> int:
        """Return a number that is unique among the calls of a node."""
        ...

    @property
    def deadline(self) -> float:
        """Return the time at which the call is cut off."""
        ...

    @property
    def lane(self) -> CallLane:
        """Return the lane to wait in."""
        ...

    @property
    def service_seconds(self) -> float:
        """Return the expected time in a slot."""
        ...

    @property
    def start_by(self) -> float:
        """Return the latest start that meets the objective."""
        ...

    @property
    def latest_start(self) -> float:
        """Return the latest start that meets the deadline."""
        ...

    @property
    def is_measured(self) -> bool:
        """Return whether ``latest_start`` is known from many calls."""
        ...
