import pytest

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.http_request_reader import RequestReader
from rhubarbhollow_calls.http_response_reader import ResponseReader

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    is_foreign=True,
)


class Sink:
    def __init__(self):
        self.head = None
        self.is_ended = False

    def request_started(self, head):
        self.head = head

    response_started = request_started

    def request_data(self, data):
        pass

    response_data = request_data

    def request_ended(self):
        self.is_ended = True

    response_ended = request_ended


def read_request(*lines, dialect=FOREIGN, is_from_node=False):
    sink = Sink()
    reader = RequestReader(sink, is_from_node, dialect)
    fault = reader.feed(
        b"GET /a/ HTTP/1.1\r\nhost: h\r\n"
        + b"".join(line + b"\r\n" for line in lines)
        + b"\r\n"
    )
    assert fault is None, fault
    return sink.head


@pytest.mark.parametrize("request_id", [b"a1.b2", b"a/b:c", b"9c41d07be2"])
def test_foreign_request_id_is_read_and_forwarded_unchanged(request_id):
    head = read_request(b"x-id: " + request_id)
    assert head.mesh.request_id == request_id
    assert b"x-id: " + request_id + b"\r\n" in head.fields


def test_caller_cannot_forge_fields_that_nodes_set():
    head = read_request(
        b"x-left: 1500",
        b"x-only: i-1",
        b"x-from: desk",
        b"rhubarbhollow-position: 9",
        b"rhubarbhollow-depth: 9",
    )
    assert head.fields == b"host: h\r\n"
    assert head.mesh.timeout_ms == 1500
    assert head.mesh.position is None
    assert head.mesh.depth == 0


def test_native_dialect_ignores_foreign_fields():
    head = read_request(b"x-left: 5", dialect=NATIVE_DIALECT)
    assert b"x-left: 5\r\n" in head.fields
    assert head.mesh.timeout_ms is None


def read_response(*lines, dialect=FOREIGN):
    sink = Sink()
    reader = ResponseReader(sink, dialect)
    reader.expect(is_for_head=False)
    fault = reader.feed(b"".join(line + b"\r\n" for line in lines) + b"\r\n")
    return sink, reader, fault


def test_connection_close_ends_a_response_without_a_length():
    sink, reader, fault = read_response(b"HTTP/1.1 200 OK", b"x-id: a")
    assert fault is None
    assert sink.head.is_until_close
    assert reader.feed(b"part") is None
    assert not sink.is_ended
    assert reader.finish()
    assert sink.is_ended


def test_connection_close_does_not_complete_a_sized_response():
    """A process that dies closes the connection before the end."""
    sink, reader, _ = read_response(b"HTTP/1.1 200 OK", b"content-length: 9")
    reader.feed(b"part")
    assert not reader.finish()
    assert not sink.is_ended


@pytest.mark.parametrize(
    ("lines", "is_not_run"),
    [((b"x-untouched: 1",), True), ((b"rhubarbhollow-not-run: true",), False)],
)
def test_only_the_field_of_the_dialect_marks_a_request_as_not_run(
    lines, is_not_run
):
    sink, _, _ = read_response(
        b"HTTP/1.1 503 No", b"content-length: 0", *lines
    )
    assert sink.head.is_not_run is is_not_run


@pytest.mark.parametrize(
    ("field", "idle_seconds"),
    [
        (b"keep-alive: timeout=7, max=3", 7),
        (b"keep-alive: max=3", None),
        (b"keep-alive: timeout=x", None),
        (b"keep-alive: timeout=" + b"9" * 5_000, None),
    ],
)
def test_keep_alive_timeout_of_the_sender_is_read(field, idle_seconds):
    sink, _, _ = read_response(b"HTTP/1.1 200 OK", b"content-length: 0", field)
    assert sink.head.idle_seconds == idle_seconds
