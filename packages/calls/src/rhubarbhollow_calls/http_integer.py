"""Decimal numbers in field values."""

from __future__ import annotations

from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_limits import MAX_INTEGER_DIGITS


def parse_integer(name: bytes, value: bytes) -> int:
    """Read digits only, without a sign or spaces."""
    if value.isdigit() and len(value) <= MAX_INTEGER_DIGITS:
        return int(value)
    raise HttpFaultError(
        HttpFaultKind.FIELD_INVALID,
        f"{name.decode('latin-1')} is not a number",
    )
