"""The base class of invariant violations in call handling."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Raised when a state is reached that correct code cannot reach.

    Each check raises its own subclass, so that the failure of a long
    run identifies the invariant that broke. Code must not catch it to
    continue. The exception is a release that cannot be put in force:
    every node gets the same one, and the one before stays.
    """
