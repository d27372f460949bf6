"""Why an endpoint is or is not chosen, for operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.endpoint import Endpoint


class Eligibility(IntEnum):
    """Rank an endpoint; only those of the lowest rank are drawn."""

    LOCAL = 0
    REMOTE = 1
    LOCAL_FULL = 2
    REMOTE_FULL = 3
    REFUSING = 4
    EJECTED = 5
    LEAVING = 6


@dataclass(frozen=True, slots=True)
class CandidateView:
    """Show this node's own evidence on one endpoint.

    ``latency_seconds`` is what choices compare: the average, less by
    the time without evidence. ``remaining_seconds`` is the time until
    nothing but its load tells the endpoint from others.
    """

    endpoint: Endpoint
    eligibility: Eligibility
    in_flight: int
    latency_seconds: float | None
    consecutive_failures: int
    refusals: int
    remaining_seconds: float
    share: float
    reported_load: float | None
