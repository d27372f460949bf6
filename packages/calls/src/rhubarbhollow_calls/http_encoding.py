"""Encoding of message heads and bodies for the next hop."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.http_body import (
    CHUNKED_BODY,
    ChunkedBody,
    NoBody,
    SizedBody,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_body import Body
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead

CONTINUE_BYTES: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
CLOSE_LINE: Final = b"connection: close\r\n"

_CHUNKED_LINE: Final = b"transfer-encoding: chunked\r\n"
_STATUS_LINES: Final = {
    status.value: b"HTTP/1.1 %d %b\r\n"
    % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


def encode_request(head: RequestHead, mesh_lines: bytes) -> bytes:
    """Return the request head for the next hop.

    ``mesh_lines`` are complete field lines that the node adds.
    """
    return b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
        head.method,
        head.target,
        head.fields,
        _encode_framing(head.body, None),
        mesh_lines,
    )


def encode_response(head: ResponseHead, own_lines: bytes) -> bytes:
    """Return the response head for the previous hop.

    ``own_lines`` are complete field lines that the node adds.
    """
    return b"%b%b%b%b\r\n" % (
        encode_status(head.status),
        head.fields,
        _encode_framing(head.body, head.length),
        own_lines,
    )


def encode_status(status: int) -> bytes:
    """Return the status line, with the standard phrase if any."""
    line = _STATUS_LINES.get(status)
    return b"HTTP/1.1 %d \r\n" % status if line is None else line


def encode_data(body: Body, data: bytes) -> bytes:
    """Return body data, as a chunk if the body is chunked."""
    if body is CHUNKED_BODY:
        return b"%x\r\n%b\r\n" % (len(data), data)
    return data


def _encode_framing(body: Body, length: int | None) -> bytes:
    match body:
        case SizedBody(size):
            return b"content-length: %d\r\n" % size
        case ChunkedBody():
            return _CHUNKED_LINE
        case NoBody() if length is not None:
            return b"content-length: %d\r\n" % length
        case NoBody():
            return b""
