from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhollow_calls.http_body import CHUNKED_BODY, NO_BODY, SizedBody
from rhubarbhollow_calls.http_encoding import encode_response
from rhubarbhollow_calls.http_fault import HttpFaultKind as Kind
from rhubarbhollow_calls.http_limits import MAX_HEAD_BYTES
from rhubarbhollow_calls.http_response_reader import ResponseReader


class Sink:
    def __init__(self):
        self.responses = []

    def response_started(self, head):
        self.responses.append([head, b"", False])

    def response_data(self, data):
        self.responses[-1][1] += data

    def response_ended(self):
        self.responses[-1][2] = True


def feed(*parts, is_for_head=False):
    sink = Sink()
    reader = ResponseReader(sink)
    reader.expect(is_for_head)
    fault = None
    for part in parts:
        fault = fault or reader.feed(part)
    return sink.responses, fault


OK = b"HTTP/1.1 200 OK\r\n"
BAD = [
    (b"\r\nbody until the end", Kind.UNDELIMITED),
    (b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", None),
    (b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", Kind.MALFORMED),
    (b"Transfer-Encoding: gzip, chunked\r\n\r\n", Kind.CODING_UNSUPPORTED),
    (b"Transfer-Encoding: gzip\r\n\r\n", Kind.CODING_UNSUPPORTED),
    (b"X: a\r\n b\r\n\r\n", Kind.MALFORMED),
    (b"X: " + b"x" * MAX_HEAD_BYTES, Kind.HEAD_TOO_LARGE),
    (b"X: x\r\n" * 102, Kind.HEAD_TOO_LARGE),
]
CASES = [
    *((OK + tail, kind) for tail, kind in BAD),
    (b"HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n", None),
    (b"HTTP/1.1 2000 OK\r\n\r\n", Kind.MALFORMED),
    (b"nonsense", Kind.MALFORMED),
]


@pytest.mark.parametrize("case", range(len(CASES)))
def test_malformed_responses_are_rejected(case):
    data, kind = CASES[case]
    responses, fault = feed(data)
    assert fault is not None
    assert kind in (None, fault.kind)
    assert not any(is_whole for _, _, is_whole in responses)


@pytest.mark.parametrize("tail", [b"\0", OK + b"Content-Length: 0\r\n\r\n"])
@pytest.mark.parametrize("is_for_head", [False, True])
def test_bytes_after_a_complete_response_are_rejected(tail, is_for_head):
    """Such bytes must not be taken for the next request's response."""
    body = b"" if is_for_head else b"a"
    data = OK + b"Content-Length: 1\r\n\r\n" + body
    for parts in ((data, tail), (data + tail,)):
        responses, fault = feed(*parts, is_for_head=is_for_head)
        assert fault is not None
        assert [(b, w) for _, b, w in responses] == [(body, True)]


VALID = [
    (b"Content-Length: 3\r\n\r\nabc", SizedBody(3), b"abc"),
    (b"Content-Length: 0\r\n\r\n", SizedBody(0), b""),
    (
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n",
        CHUNKED_BODY,
        b"abc",
    ),
]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.sampled_from(VALID), st.lists(st.integers(1, 60), max_size=8))
def test_splits_and_interim_answers_change_nothing(case, cuts):
    tail, framing, body = case
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"X-A: 1\r\n" + tail
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    parts = [data[a:b] for a, b in pairwise(edges)]
    answers, fault = feed(*parts)
    assert fault is None
    [(head, got, is_whole)] = answers
    assert (head.body, got, is_whole) == (framing, body, True)
    again, _ = feed(encode_response(head, b""))
    assert again[0][0] == head


@pytest.mark.parametrize(
    ("start", "is_for_head", "length"),
    [
        (b"HTTP/1.1 200 OK\r\n", True, 9),
        (b"HTTP/1.1 304 Not Modified\r\n", False, 9),
        (b"HTTP/1.1 204 No Content\r\n", False, None),
    ],
)
def test_responses_without_a_body(start, is_for_head, length):
    declared = b"" if length is None else b"content-length: %d\r\n" % length
    data = start + declared + b"\r\n"
    responses, fault = feed(data, is_for_head=is_for_head)
    assert fault is None
    [(head, _, is_whole)] = responses
    assert (head.body, head.length, is_whole) == (NO_BODY, length, True)
    assert encode_response(head, b"") == data


def test_node_fields_are_read_and_not_forwarded():
    lines = (
        b"rhubarbhollow-executed: no\r\nrhubarbhollow-refusal: shed\r\n"
        b"rhubarbhollow-not-run: true\r\nrhubarbhollow-position: 4\r\n"
        b"X-A: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
    responses, _ = feed(b"HTTP/1.1 503 X\r\n" + lines)
    head = responses[0][0]
    assert head.fields == b"x-a: 1\r\n"
    assert (head.executed, head.refusal, head.is_not_run) == (
        b"no",
        b"shed",
        True,
    )
    assert (head.position, head.is_keep_alive) == (4, False)
