"""The check of evidence from other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_rollout.messages import RolloutEvidence

MAX_ROUTE_CHARACTERS: Final = 255
# Sums over all processes stay exact as floating-point numbers.
MAX_CALLS: Final = 1 << 40


def is_consistent(evidence: RolloutEvidence) -> bool:
    """Return whether the counts can come from one process."""
    stable = (
        evidence.stable_failed,
        evidence.stable_broken,
        evidence.stable_slow,
    )
    new = evidence.new_failed, evidence.new_broken, evidence.new_slow
    return (
        min(stable + new) >= 0
        and sum(stable) <= evidence.stable_calls <= MAX_CALLS
        and sum(new) <= evidence.new_calls <= MAX_CALLS
        and len(evidence.route) <= MAX_ROUTE_CHARACTERS
    )
