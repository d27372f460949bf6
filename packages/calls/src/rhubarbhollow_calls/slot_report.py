"""The header value that reports slot usage with a response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls.backlog import (
    MS_PER_SECOND,
    Backlog,
    encode_backlog,
)
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_integer import parse_integer

_SEPARATOR: Final = b","
_PARTS: Final = 3
# With the speed of an upstream that tells it.
_SPEED_PARTS: Final = 4
_FIELD_NAME: Final = b"slots"


@dataclass(frozen=True, slots=True)
class SlotReport:
    """Report an upstream's backlog and how long the call held a slot.

    ``held_seconds`` is ``None`` for a call that had no slot.
    ``work_percent`` is how long work takes there, 0 if unknown.
    """

    backlog: Backlog
    held_seconds: float | None = None
    work_percent: int = 0


def encode_report(report: SlotReport) -> bytes:
    """Encode the report as a header value, in milliseconds.

    The value is ``interactive,bulk,held``; ``held`` is empty for a call
    that had no slot. The speed follows if it is known.
    """
    held = b""
    if report.held_seconds is not None:
        held = b"%d" % round(report.held_seconds * MS_PER_SECOND)
    value = b"%b,%b" % (encode_backlog(report.backlog), held)
    if not report.work_percent:
        return value
    return b"%b,%d" % (value, report.work_percent)


def parse_report(value: bytes) -> SlotReport:
    """Parse a header value, or raise ``HttpFaultError``."""
    parts = value.split(_SEPARATOR)
    if len(parts) not in (_PARTS, _SPEED_PARTS):
        raise HttpFaultError(
            HttpFaultKind.FIELD_INVALID,
            f"slot report has {len(parts)} values, expected {_PARTS}"
            f" or {_SPEED_PARTS}",
        )
    interactive, bulk = (_read_seconds(part) for part in parts[:2])
    held = _read_seconds(parts[2]) if parts[2] else None
    percent = 0
    if len(parts) == _SPEED_PARTS:
        percent = parse_integer(_FIELD_NAME, parts[3])
    return SlotReport(Backlog(interactive, bulk), held, percent)


def _read_seconds(part: bytes) -> float:
    return parse_integer(_FIELD_NAME, part) / MS_PER_SECOND
