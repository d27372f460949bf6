"""Conversion of the parser library's exceptions to HTTP faults."""

from __future__ import annotations

import httptools

from rhubarbhollow_calls.http_fault import (
    HttpFault,
    HttpFaultError,
    HttpFaultKind,
)


def to_fault(error: httptools.HttpParserError) -> HttpFault:
    """Convert an exception of the parser to an ``HttpFault``.

    If a callback raised anything but ``HttpFaultError``, that is a bug
    in this program, and ``error`` is raised again.
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
