"""Invariant checks that are enabled in production as well."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818 - names the event
    """A safety guarantee of the log no longer holds.

    The process must stop, since continuing could corrupt other members.
    """


def require(condition: bool, message: str) -> None:
    """Raise InvariantViolation unless ``condition`` holds."""
    if not condition:
        raise InvariantViolation(message)
