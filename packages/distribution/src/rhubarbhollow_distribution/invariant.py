"""Invariant checks of this package."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Signal a violated invariant.

    This is a programming error: the process must not continue to serve.
    """


def check_invariant(holds: bool, rule: str) -> None:
    """Raise ``InvariantViolation`` with ``rule`` unless it holds."""
    if not holds:
        raise InvariantViolation(rule)
