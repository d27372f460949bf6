"""Diagnostics that show operators why an endpoint is chosen or not."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.endpoint import Endpoint


class Eligibility(IntEnum):
    """Rank an endpoint; endpoints of the lowest rank are preferred."""

    LOCAL = 0
    REMOTE = 1
    LOCAL_FULL = 2
    REMOTE_FULL = 3
    REFUSING = 4
    EJECTED = 5
    LEAVING = 6


@dataclass(frozen=True, slots=True)
class CandidateView:
    """Describe the evidence that this node holds about one endpoint.

    ``latency_seconds`` is the value that the choice compares: the
    moving average, decayed by the time since the last sample, or
    ``None`` if there is no sample. ``remaining_seconds`` is the time
    until slow start, back-off and ejection end, after which only load,
    latency and recent failures distinguish the endpoint; it is infinite
    while the endpoint is on probation. ``share`` is the slow-start
    share of calls that the endpoint may get, between 0 and 1.
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
