"""Status codes of refusals for callers of a foreign dialect."""

from __future__ import annotations

from typing import Final

from rhubarbhollow_calls.refusal import Executed, Refusal, RefusalKind

_NOT_RUN_STATUS: Final = 503
_DEADLINE_STATUS: Final = 504
_UNKNOWN_STATUS: Final = 502
# Faults of the request or its caller, which another node would refuse
# as well; these keep their own status.
_REQUEST_FAULTS: Final = frozenset(
    (
        RefusalKind.BAD_REQUEST,
        RefusalKind.NO_ROUTE,
        RefusalKind.HEADERS_TOO_LARGE,
        RefusalKind.BODY_TOO_LARGE,
        RefusalKind.KEY_UNKNOWN,
        RefusalKind.QUOTA_EXCEEDED,
    )
)


def status_for_foreign(refusal: Refusal) -> int:
    """Return the status code of a refusal for a foreign caller.

    It is 503 only with a proof that the request did not run, since
    such callers retry even a non-idempotent request after a 503.
    Without a proof it is 504 after a missed deadline, otherwise 502.
    """
    if refusal.executed is Executed.NO:
        if refusal.kind in _REQUEST_FAULTS:
            return refusal.status
        return _NOT_RUN_STATUS
    if refusal.kind is RefusalKind.DEADLINE:
        return _DEADLINE_STATUS
    return _UNKNOWN_STATUS
