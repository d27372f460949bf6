"""The rate at which bad calls use up what an objective allows."""

from __future__ import annotations


def burn_rate(bad: int, total: int, target: float) -> float:
    """Return the share of bad calls over the share that is allowed.

    ``target`` is the promised share of good calls, below 1. A rate of
    1 uses up exactly the budget over the window; one of 2 uses it up
    in half the time.
    """
    if not total:
        return 0.0
    return bad / total / (1 - target)
