"""Faults out of the parser library's exceptions."""

from __future__ import annotations

import httptools

from rhubarbhollow_calls.http_fault import (
    HttpFault,
    HttpFaultError,
    HttpFaultKind,
)


def to_fault(error: httptools.HttpParserError) -> HttpFault:
    """Return the typed form of what the parser raised.

    An exception that is not ours but came out of a callback is a fault
    of the program and goes on up.
    """
    match error:
        case httptools.HttpParserCallbackError():
            return _to_callback_fault(error)
        case httptools.HttpParserInvalidMethodError():
            kind = HttpFaultKind.METHOD_UNSUPPORTED
        case httptools.HttpParserInvalidURLError():
            kind = HttpFaultKind.TARGET_INVALID
        case _:
            kind = HttpFaultKind.MALFORMED
    return HttpFault(kind, str(error))


def _to_callback_fault(error: BaseException) -> HttpFault:
    cause = error.__context__
    if isinstance(cause, HttpFaultError):
        return cause.fault
    raise error
