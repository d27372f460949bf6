"""The exception for a broken invariant of this package."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Report that a rule which must always hold did not hold.

    This is a programming fault: the process must not go on serving.
    """


def check_invariant(is_kept: bool, rule: str) -> None:
    """Raise ``InvariantViolation`` unless ``rule`` is kept."""
    if not is_kept:
        raise InvariantViolation(rule)
