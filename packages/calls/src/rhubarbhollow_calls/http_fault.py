"""What can be wrong with an HTTP message."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HttpFaultKind(Enum):
    """Name one way in which a message cannot be passed on."""

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
    """Report why a message was not accepted.

    Whatever the kind, the place where the next message would begin is
    in doubt, so the connection is closed after the refusal.
    """

    kind: HttpFaultKind
    detail: str

    @property
    def status(self) -> int:
        """Return the status code that answers a request with it."""
        return _STATUSES.get(self.kind, 400)


class HttpFaultError(Exception):
    """Carry a fault out of a parser callback."""

    def __init__(self, kind: HttpFaultKind, detail: str) -> None:
        super().__init__(detail)
        self.fault = HttpFault(kind, detail)
