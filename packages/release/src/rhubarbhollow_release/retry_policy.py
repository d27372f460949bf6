"""Retry policies of routes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limit the attempts of a call and the retries of a route.

    ``attempts`` includes the first one.  ``budget_ratio`` is the
    maximum share of a route's recent calls that may be retries.
    """

    name: str
    attempts: int
    budget_ratio: float
