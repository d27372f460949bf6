"""How often a route's calls may be sent again."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Bound the retries of a call and of a route.

    ``attempts`` counts the first one.  ``budget_ratio`` is the share of
    a route's recent calls that may be retries.
    """

    name: str
    attempts: int
    budget_ratio: float
