"""The exception that reports a broken ledger invariant."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Report that an operation broke an invariant of the ledger.

    This is a programming error.  The process must stop rather than
    continue with a state that differs from the other replicas' state.
    """
