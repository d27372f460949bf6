"""The status of a refusal towards callers that know other promises."""

from __future__ import annotations

from typing import Final

from rhubarbhollow_calls.refusal import Executed, Refusal, RefusalKind

_NOT_RUN_STATUS: Final = 503
_LATE_STATUS: Final = 504
_UNKNOWN_STATUS: Final = 502
# faults of the request itself, which a repeat would not mend
_OWN_STATUS: Final = frozenset(
    (
        RefusalKind.BAD_REQUEST,
        RefusalKind.NO_ROUTE,
        RefusalKind.HEADERS_TOO_LARGE,
        RefusalKind.BODY_TOO_LARGE,
    )
)


def status_for_foreign(refusal: Refusal) -> int:
    """Return 503 for what surely did not run, and else 502 or 504.

    Such callers repeat a non-idempotent request after a 503, so that it
    is sent with a proof only.
    """
    if refusal.executed is Executed.NO:
        if refusal.kind in _OWN_STATUS:
            return refusal.status
        return _NOT_RUN_STATUS
    if refusal.kind is RefusalKind.DEADLINE:
        return _LATE_STATUS
    return _UNKNOWN_STATUS
