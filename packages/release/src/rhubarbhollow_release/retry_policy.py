"""Retry policies of routes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limit the attempts of a call and the retries to a service.

    ``attempts`` includes the first one.  ``budget_ratio`` is the ratio
    of retries to recent calls that a node allows.  Routes to the same
    service with the same ratio share one budget.
    """

    name: str
    attempts: int
    budget_ratio: float
