"""Encoding of refusals as HTTP responses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.http_encoding import CLOSE_LINE, encode_status
from rhubarbhollow_calls.http_fault import HttpFaultKind
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import (
    PROBLEM_CONTENT_TYPE,
    Refusal,
    RefusalKind,
    problem_bytes,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_fault import HttpFault

# RFC 9110, section 15.5.2, requires a challenge in a 401.
_CHALLENGE_LINE: Final = b"www-authenticate: Key\r\n"
_KINDS: Final = {
    HttpFaultKind.HEAD_TOO_LARGE: RefusalKind.HEADERS_TOO_LARGE,
}


def refusal_for_fault(fault: HttpFault, is_written: bool) -> Refusal:
    """Return the refusal for a request that is not valid HTTP."""
    kind = _KINDS.get(fault.kind, RefusalKind.BAD_REQUEST)
    detail = f"{fault.kind.value}: {fault.detail}"
    if is_written:
        return Refusal.unknown(kind, detail)
    return Refusal.not_run(kind, NeverWritten(UnwrittenStage.PARSING), detail)


def encode_refusal(
    refusal: Refusal,
    request_id: bytes,
    extra_field_lines: bytes = b"",
    *,
    status: int | None = None,
    retry_after_seconds: float | None = None,
    is_bodyless: bool = False,
    is_for_head: bool = False,
    is_last: bool = False,
) -> bytes:
    """Return a complete HTTP response for a refusal.

    ``status`` overrides the status of the refusal's kind.
    """
    if is_bodyless:
        return _encode_bodyless(refusal, extra_field_lines, is_last=is_last)
    document = problem_bytes(refusal, request_id.decode("latin-1"))
    if status is not None and status != refusal.status:
        document = _replace_status(document, status)
    if refusal.kind is RefusalKind.KEY_UNKNOWN:
        extra_field_lines += _CHALLENGE_LINE
    if retry_after_seconds is not None:
        # Without a fraction it is valid for every HTTP client.
        form = "%d" if float(retry_after_seconds).is_integer() else "%.3f"
        extra_field_lines += b"%b: %b\r\n" % (
            names.RETRY_AFTER,
            (form % retry_after_seconds).encode(),
        )
    return (
        b"%bcontent-type: %b\r\ncontent-length: %d\r\n"
        b"%b: %b\r\n%b: %b\r\n%b: %b\r\n%b: decided\r\n%b%b\r\n%b"
    ) % (
        encode_status(refusal.status if status is None else status),
        PROBLEM_CONTENT_TYPE,
        len(document),
        names.EXECUTED,
        refusal.executed.header_value,
        names.REFUSAL,
        refusal.kind.value.encode(),
        names.REQUEST_ID,
        request_id,
        names.RETRY,
        extra_field_lines,
        CLOSE_LINE if is_last else b"",
        b"" if is_for_head else document,
    )


def _encode_bodyless(
    refusal: Refusal, extra_field_lines: bytes, *, is_last: bool
) -> bytes:
    return b"%b%b: %b\r\n%b: %b\r\ncontent-length: 0\r\n%b%b\r\n" % (
        encode_status(refusal.status),
        names.EXECUTED,
        refusal.executed.header_value,
        names.REFUSAL,
        refusal.kind.value.encode(),
        extra_field_lines,
        CLOSE_LINE if is_last else b"",
    )


def _replace_status(document: bytes, status: int) -> bytes:
    problem = json.loads(document)
    problem["status"] = status
    return json.dumps(problem, separators=(",", ":")).encode()
