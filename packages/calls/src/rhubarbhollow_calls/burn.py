"""Burn rate: how fast bad calls consume an error budget."""

from __future__ import annotations


def burn_rate(bad: int, total: int, target: float) -> float:
    """Return the share of bad calls divided by the allowed share.

    ``target`` is the promised share of good calls, below 1. A rate of
    1 consumes the error budget exactly over the objective's window, a
    rate of 2 in half that time. Without calls the rate is 0.
    """
    if not total:
        return 0.0
    return bad / total / (1 - target)
