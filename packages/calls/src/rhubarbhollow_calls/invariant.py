"""The base of all broken invariants in the call decisions."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Report a state that correct code cannot reach.

    Each check raises its own subclass, so that a long run names the
    invariant that broke. It is never caught to carry on.
    """
