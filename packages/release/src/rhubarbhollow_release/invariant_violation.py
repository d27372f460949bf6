"""The failure of an assertion inside the program."""

from __future__ import annotations


class InvariantViolation(Exception):  # noqa: N818
    """Say that the ledger would break one of its own rules.

    It is a programming fault: the process must stop rather than go on
    with a state that other replicas do not share.
    """
