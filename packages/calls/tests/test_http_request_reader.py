from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhollow_calls.http_body import CHUNKED_BODY, NO_BODY, SizedBody
from rhubarbhollow_calls.http_fault import HttpFaultKind as Kind
from rhubarbhollow_calls.http_limits import MAX_HEAD_BYTES, MAX_TARGET_BYTES
from rhubarbhollow_calls.http_request_reader import RequestReader


class Sink:
    """Join body parts, so that input splits make no difference."""

    def __init__(self):
        self.requests = []

    def request_started(self, head):
        self.requests.append([head, b"", False])

    def request_data(self, data):
        self.requests[-1][1] += data

    def request_ended(self):
        self.requests[-1][2] = True


def feed(*parts, is_from_node=False):
    sink = Sink()
    reader = RequestReader(sink, is_from_node)
    for part in parts:
        fault = reader.feed(part)
        if fault is not None:
            return sink.requests, fault
    return sink.requests, None


def split(data, size):
    return (data[i : i + size] for i in range(0, len(data), size))


START = b"POST / HTTP/1.1\r\nHost: a\r\n"
BAD = [
    (b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", Kind.MALFORMED),
    (b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", Kind.MALFORMED),
    (b"Content-Length: 1, 1\r\n\r\na", Kind.MALFORMED),
    (b"Content-Length: +1\r\n\r\na", Kind.MALFORMED),
    (b"Content-Length: 99999999999999999999\r\n\r\n", Kind.MALFORMED),
    (b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", None),
    (b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", None),
    (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        None,
    ),
    (b"Transfer-Encoding: gzip, chunked\r\n\r\n", Kind.CODING_UNSUPPORTED),
    (b"Transfer-Encoding: chunked, gzip\r\n\r\n", None),
    (b"Transfer-Encoding: xchunked\r\n\r\n", Kind.CODING_UNSUPPORTED),
    (b"Transfer-Encoding: identity\r\n\r\n", Kind.CODING_UNSUPPORTED),
    (b"Transfer-Encoding : chunked\r\n\r\n", Kind.MALFORMED),
    (b"X: a\r\n b\r\n\r\n", Kind.MALFORMED),
    (b"X: a\nY: b\r\n\r\n", Kind.MALFORMED),
    (b"X: a\rb\r\n\r\n", Kind.MALFORMED),
    (b"X: a\0b\r\n\r\n", Kind.MALFORMED),
    (b": a\r\n\r\n", Kind.MALFORMED),
    (b"Host: b\r\n\r\n", Kind.DUPLICATE_FIELD),
    (
        b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
        Kind.DUPLICATE_FIELD,
    ),
    (b"rhubarbhollow-position: x\r\n\r\n", Kind.FIELD_INVALID),
    (b"rhubarbhollow-timeout-ms: -1\r\n\r\n", Kind.FIELD_INVALID),
    (b"rhubarbhollow-request-id: a b\r\n\r\n", Kind.FIELD_INVALID),
    (b"rhubarbhollow-depth: 1\r\nrhubarbhollow-depth: 0\r\n\r\n", None),
    (b"Expect: tea\r\n\r\n", Kind.EXPECTATION_UNSUPPORTED),
    (b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n", Kind.UPGRADE_UNSUPPORTED),
    (b"X: " + b"x" * MAX_HEAD_BYTES + b"\r\n", Kind.HEAD_TOO_LARGE),
    (b"X: x\r\n" * 101 + b"\r\n", Kind.HEAD_TOO_LARGE),
    (
        b"Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
        Kind.MALFORMED,
    ),
    (b"Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n", Kind.MALFORMED),
    (b"Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX0\r\n", Kind.MALFORMED),
    (
        b"Transfer-Encoding: chunked\r\n\r\n5;" + b"x" * MAX_HEAD_BYTES * 2,
        Kind.HEAD_TOO_LARGE,
    ),
    (
        b"Transfer-Encoding: chunked\r\n\r\n0\r\nT: "
        + b"x" * MAX_HEAD_BYTES * 2,
        Kind.HEAD_TOO_LARGE,
    ),
]
BAD_STARTS = [
    (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", Kind.METHOD_UNSUPPORTED),
    (b"FOO / HTTP/1.1\r\nHost: a\r\n\r\n", Kind.METHOD_UNSUPPORTED),
    (b"get / HTTP/1.1\r\nHost: a\r\n\r\n", Kind.METHOD_UNSUPPORTED),
    (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", Kind.TARGET_INVALID),
    (b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", Kind.TARGET_INVALID),
    (b"GET /#f HTTP/1.1\r\nHost: a\r\n\r\n", Kind.TARGET_INVALID),
    (b"GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n", Kind.TARGET_INVALID),
    (b"GET a HTTP/1.1\r\nHost: a\r\n\r\n", Kind.TARGET_INVALID),
    (b"GET / HTTP/1.0\r\nHost: a\r\n\r\n", Kind.VERSION_UNSUPPORTED),
    (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", Kind.VERSION_UNSUPPORTED),
    (b"GET /\r\n\r\n", Kind.VERSION_UNSUPPORTED),
    (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", None),
    (b"GET / HTTP/1.1\r\n\r\n", Kind.HOST_MISSING),
    (b"GET / HTTP/1.1\r\nHost:\r\n\r\n", Kind.HOST_MISSING),
    (b"GET / HTTP/1.1\nHost: a\n\n", Kind.MALFORMED),
    (b"GET /" + b"x" * MAX_TARGET_BYTES, Kind.TARGET_TOO_LONG),
    (b"\x16\x03\x01\x02\x00\x01", None),
]
CASES = [(START + tail, kind) for tail, kind in BAD] + BAD_STARTS


@pytest.mark.parametrize("case", range(len(CASES)))
def test_malformed_requests_are_rejected_however_they_are_split(case):
    """Guard against request smuggling and unbounded heads."""
    data, kind = CASES[case]
    requests, fault = feed(*split(data, 4_096))
    assert fault is not None
    assert kind in (None, fault.kind)
    assert not any(is_whole for _, _, is_whole in requests)
    _, split_fault = feed(*split(data, 1))
    assert split_fault is not None
    assert 400 <= split_fault.status < 600


VALID = (
    b"GET /a?b=1 HTTP/1.1\r\nHost: Desk:80\r\nX-A: 1\r\n\r\n"
    b"POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello"
    b"PUT /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: Chunked\r\n\r\n"
    b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"
    b"DELETE /d HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    b"GET /never HTTP/1.1\r\nhost: a\r\n\r\n"
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(1, len(VALID) - 1), max_size=12))
def test_splits_change_nothing(cuts):
    edges = [0, *sorted(cuts), len(VALID)]
    parts = [VALID[a:b] for a, b in pairwise(edges)]
    requests, fault = feed(*parts)
    assert fault is None
    assert [(h.method, h.target, b, w) for h, b, w in requests] == [
        (b"GET", b"/a?b=1", b"", True),
        (b"POST", b"/b", b"hello", True),
        (b"PUT", b"/c", b"abcde", True),
        (b"DELETE", b"/d", b"", True),
    ]
    heads = [head for head, _, _ in requests]
    assert [h.body for h in heads] == [
        NO_BODY,
        SizedBody(5),
        CHUNKED_BODY,
        NO_BODY,
    ]
    assert heads[0].host == b"desk"
    assert heads[0].fields == b"host: Desk:80\r\nx-a: 1\r\n"
    assert [h.is_keep_alive for h in heads] == [True, True, True, False]


FIELDS = (
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: x-own, close\r\n"
    b"Connection: X-Other\r\nX-Own: 1\r\nx-other: 2\r\nKeep-Alive: 5\r\n"
    b"TE: trailers\r\nTrailer: T\r\nProxy-Authorization: p\r\nX-Kept: 3\r\n"
    b"rhubarbhollow-upstream: spoof\r\nRhubarbhollow-Idempotent: true\r\n"
    b"rhubarbhollow-anything: 1\r\nrhubarbhollow-position: 9\r\n"
    b"rhubarbhollow-timeout-ms: 250\r\nrhubarbhollow-depth: 3\r\n"
    b"rhubarbhollow-request-id: r-1\r\nIdempotency-Key: k\r\n\r\n"
)


@pytest.mark.parametrize(
    ("is_from_node", "upstream"), [(False, b""), (True, b"spoof")]
)
def test_hop_by_hop_and_node_fields_are_not_forwarded(is_from_node, upstream):
    requests, fault = feed(FIELDS, is_from_node=is_from_node)
    assert fault is None
    head = requests[0][0]
    assert head.fields == b"host: a\r\nx-kept: 3\r\nidempotency-key: k\r\n"
    assert head.idempotency_key == b"k"
    mesh = head.mesh
    assert (mesh.position, mesh.timeout_ms, mesh.depth) == (9, 250, 3)
    assert (mesh.request_id, mesh.upstream) == (b"r-1", upstream)
    assert mesh.is_idempotent is is_from_node
