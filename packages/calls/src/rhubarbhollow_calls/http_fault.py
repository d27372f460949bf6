"""Faults that prevent an HTTP message from being forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HttpFaultKind(Enum):
    """Reason why a message cannot be forwarded."""

    MALFORMED = "malformed"
    METHOD_UNSUPPORTED = "method-unsupported"
    TARGET_INVALID = "target-invalid"
    TARGET_TOO_LONG = "target-too-long"
    HEAD_TOO_LARGE = "head-too-large"
    VERSION_UNSUPPORTED = "version-unsupported"
    HOST_MISSING = "host-missing"
    DUPLICATE_FIELD = "duplicate-field"
    CODING_UNSUPPORTED = "coding-unsupported"
    EXPECTATION_UNSUPPORTED = "expectation-unsupported"
    UPGRADE_UNSUPPORTED = "upgrade-unsupported"
    FIELD_INVALID = "field-invalid"
    UNDELIMITED = "undelimited"
    UNEXPECTED = "unexpected"


# Kinds that are not listed have the status 400 (Bad Request).
_STATUSES = {
    HttpFaultKind.METHOD_UNSUPPORTED: 501,
    HttpFaultKind.TARGET_TOO_LONG: 414,
    HttpFaultKind.HEAD_TOO_LARGE: 431,
    HttpFaultKind.VERSION_UNSUPPORTED: 505,
    HttpFaultKind.CODING_UNSUPPORTED: 501,
    HttpFaultKind.EXPECTATION_UNSUPPORTED: 417,
    HttpFaultKind.UPGRADE_UNSUPPORTED: 501,
}


@dataclass(frozen=True, slots=True)
class HttpFault:
    """Kind and description of the fault of a rejected message.

    Whatever the kind, it is uncertain where the next message would
    begin, so the connection is closed after the refusal.
    """

    kind: HttpFaultKind
    detail: str

    @property
    def status(self) -> int:
        """Return the status code that answers a faulty request."""
        return _STATUSES.get(self.kind, 400)


class HttpFaultError(Exception):
    """Raised in a parser callback to report a fault."""

    def __init__(self, kind: HttpFaultKind, detail: str) -> None:
        super().__init__(detail)
        self.fault = HttpFault(kind, detail)
