"""Checks that hold in every run, also outside tests."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818 - names the event
    """Report that the log's guarantees no longer hold.

    The process must stop: going on could spread the damage.
    """


def require(condition: bool, what: str) -> None:
    """Raise InvariantViolation with ``what`` unless it holds."""
    if not condition:
        raise InvariantViolation(what)
