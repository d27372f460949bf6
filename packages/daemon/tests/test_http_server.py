"""Dispatch of requests and bounds of bodies on the admin port."""

import json

import anyio
import pytest

from rhubarbhollow_daemon import http_server
from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_daemon.http_response import answer_json
from rhubarbhollow_daemon.http_server import AdminApplication


async def echo(request, arguments):
    body = request.body.decode()
    answer = {**arguments, "q": request.query_parameter("q"), "body": body}
    return answer_json(answer)


async def fail(request, arguments):
    raise RecursionError


def call(method, path, query=b"", chunks=(b"",), *, is_incomplete=False):
    application = AdminApplication()
    application.add("GET", "/a/(?P<name>[^/]+)", echo)
    application.add("POST", "/a/(?P<name>[^/]+)", echo)
    application.add("GET", "/fail", fail)
    messages = [
        {"type": "http.request", "body": chunk, "more_body": True}
        for chunk in chunks
    ]
    if is_incomplete:
        messages.append({"type": "http.disconnect"})
    else:
        messages[-1]["more_body"] = False
    incoming, sent = iter(messages), []

    async def receive():
        return next(incoming)

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query,
    }
    anyio.run(application, scope, receive, send)
    return sent


@pytest.mark.parametrize(
    ("request_line", "status", "expected"),
    [
        (("GET", "/a/x", b"q=1&q=2"), 200, {"name": "x", "q": "1"}),
        (("GET", "/a/x", b"\xff=%ff"), 200, {"q": None}),
        (("POST", "/a/x", b"", (b"ab", b"c")), 200, {"body": "abc"}),
        (("GET", "/a/x/y"), 404, {"title": "not found"}),
        (("GET", "/a/"), 404, {"title": "not found"}),
        (("GET", ""), 404, {"title": "not found"}),
        (("DELETE", "/a/x"), 405, {"title": "method not allowed"}),
        (("POST", "/fail"), 405, {"title": "method not allowed"}),
        (("GET", "/fail"), 500, {"title": "internal error"}),
        (
            ("POST", "/a/x", b"", (b"1234", b"5678")),
            200,
            {"body": "12345678"},
        ),
        (
            ("POST", "/a/x", b"", (b"1234", b"56789")),
            413,
            {"title": "body too large"},
        ),
    ],
)
def test_responses(monkeypatch, request_line, status, expected):
    """Guard against wrong dispatch, headers or limits of bodies."""
    monkeypatch.setattr(http_server, "MAX_BODY_BYTES", 8)
    start, body = call(*request_line)
    headers = dict(start["headers"])
    assert start["status"] == status
    assert expected.items() <= json.loads(body["body"]).items()
    assert headers[b"content-length"] == str(len(body["body"])).encode()
    kind = b"application/json" if status == 200 else b"application/problem"
    assert headers[b"content-type"].startswith(kind)


def test_an_incomplete_request_is_not_handled():
    """Guard against acting on part of a body.

    The client disconnects before it has sent the whole request.
    """
    assert call("POST", "/a/x", chunks=(b"part",), is_incomplete=True) == []


def test_other_protocols_are_ignored():
    """Guard against errors for ASGI events such as lifespan."""
    application = AdminApplication()
    anyio.run(application, {"type": "lifespan"}, None, None)


@pytest.mark.parametrize(
    "body",
    [
        *(b"", b"[]", b"\xff", b"[" * 100_000, b'{"a": NaN}'),
        *(
            b'{"a": Infinity}',
            b'{"a": -Infinity}',
            b'{"a": %s}' % (b"9" * 9_999),
        ),
    ],
)
def test_a_body_that_is_no_json_object_is_refused(body):
    """NaN must not pass, since it passes a check of any range."""
    assert HttpRequest("POST", "/", "", body).json_object().is_err()
