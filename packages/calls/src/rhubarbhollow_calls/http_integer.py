"""Parsing of decimal numbers in field values."""

from __future__ import annotations

from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_limits import MAX_INTEGER_DIGITS


def parse_integer(name: bytes, value: bytes) -> int:
    """Parse a decimal number without a sign or spaces.

    Raise ``HttpFaultError`` with the field's name if ``value`` is
    anything else or too long.
    """
    if value.isdigit() and len(value) <= MAX_INTEGER_DIGITS:
        return int(value)
    raise HttpFaultError(
        HttpFaultKind.FIELD_INVALID,
        f"the value of {name.decode('latin-1')} is not a number of at most"
        f" {MAX_INTEGER_DIGITS} digits",
    )
