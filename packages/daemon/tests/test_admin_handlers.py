"""The admin port of a node: announcements, readiness, explanations."""

import json
from datetime import timedelta
from random import Random

import anyio
import pytest
import yaml
from test_node_building import DOCUMENT

from rhubarbhollow_daemon.explain_handlers import ExplainHandlers
from rhubarbhollow_daemon.http_server import AdminApplication
from rhubarbhollow_daemon.metrics import Metrics
from rhubarbhollow_daemon.node_building import build_node
from rhubarbhollow_daemon.node_handlers import NodeHandlers
from rhubarbhollow_daemon.settings_file import load_settings
from rhubarbhollow_wire.clock import ManualClock

ANNOUNCEMENT = {
    "name": "bench",
    "service": "test-bench",
    "host": "127.0.0.1",
    "port": 9000,
    "slots": 9,
    "connections": 120,
    "lease_seconds": 5,
}


class Port:
    """The admin port of a node that has no control instance."""

    def __init__(self, folder):
        path = folder / "settings.yaml"
        path.write_text(yaml.safe_dump(DOCUMENT))
        settings = load_settings(path).unwrap()
        self.clock = ManualClock()
        self.node = build_node(settings, 1, self.clock, Random(1))
        self._application = AdminApplication()
        metrics = Metrics("n1", "ilala")
        handlers = NodeHandlers(self.node, metrics, lambda: ())
        handlers.register(self._application)
        ExplainHandlers(self.node).register(self._application)

    def call(self, method, path, document=None, query=""):
        body = b"" if document is None else json.dumps(document).encode()
        messages = iter([{"type": "http.request", "body": body}])
        sent = []

        async def receive():
            return next(messages)

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
        }
        anyio.run(self._application, scope, receive, send)
        return sent[0]["status"], sent[1]["body"]


@pytest.fixture
def port(tmp_path):
    return Port(tmp_path)


@pytest.mark.parametrize(
    ("method", "path", "document", "status", "text"),
    [
        ("GET", "/healthz", None, 200, "ok"),
        ("GET", "/readyz", None, 503, "no_release"),
        ("GET", "/metrics", None, 200, ""),
        ("GET", "/v1/upstreams", None, 200, '"upstreams":[]'),
        ("GET", "/v1/explain/route", None, 200, "no release in force"),
        ("GET", "/v1/explain/request", None, 200, '"kind":"no_release"'),
        ("GET", "/v1/explain/node", None, 200, "no control instance"),
        ("GET", "/v1/explain/call/none", None, 404, "unknown_call"),
        ("DELETE", "/v1/announcements/none", None, 404, "unknown_upstream"),
        ("POST", "/v1/announcements", None, 400, "bad_request"),
        ("POST", "/v1/announcements", [], 400, "bad_request"),
        ("POST", "/v1/announcements", {}, 422, "announcement_invalid"),
        ("POST", "/v1/announcements", ANNOUNCEMENT, 200, '"lease_seconds":5'),
        ("PUT", "/v1/announcements", ANNOUNCEMENT, 405, "method_not_allowed"),
    ],
)
def test_responses_of_a_node(port, method, path, document, status, text):
    """Guard against wrong status codes or bodies before a release."""
    answer = port.call(method, path, document)
    assert answer[0] == status
    assert text in answer[1].decode()


def test_an_upstream_excludes_others_until_it_leaves_or_expires(port):
    """Guard against two upstreams beside one node.

    A second announcement conflicts with the first one until that is
    leaving; an expired one is gone.
    """
    other = ANNOUNCEMENT | {"name": "other"}
    path = "/v1/announcements"
    assert port.call("POST", path, ANNOUNCEMENT)[0] == 200
    assert port.call("POST", path, ANNOUNCEMENT)[0] == 200
    status, body = port.call("POST", path, other)
    assert (status, b"upstream_present" in body) == (409, True)
    leaving = ANNOUNCEMENT | {"state": "leaving"}
    assert port.call("POST", path, leaving)[0] == 200
    assert port.call("POST", path, other)[0] == 200
    assert port.call("DELETE", f"{path}/other")[0] == 200
    port.clock.advance(timedelta(seconds=6).total_seconds())
    port.node.upstreams.expire()
    assert port.call("DELETE", f"{path}/bench")[0] == 404


def test_a_draining_node_is_not_ready(port):
    """Guard against a readiness check that passes during a drain."""
    port.node.call_node.begin_drain()
    status, body = port.call("GET", "/readyz")
    assert (status, b"draining" in body) == (503, True)
