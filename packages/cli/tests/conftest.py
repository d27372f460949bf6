"""Fixtures for the command line: a scripted server and input files."""

import json
import socket
import threading
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
import structlog
from click.testing import CliRunner
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from rhubarbhollow_cli.environment import Environment
from rhubarbhollow_cli.main import cli
from rhubarbhollow_release.keys import store_private_key
from rhubarbhollow_wire.clock import ManualClock

LOST = "lost"
KEY = Ed25519PrivateKey.from_private_bytes(bytes(32))
DOCUMENT = {
    "format": 1,
    "mesh": "lab",
    "version": 8,
    "services": [{"name": "desk"}],
    "routes": [
        {
            "name": "lookup",
            "host": "*",
            "prefix": "/",
            "service": "desk",
            "timeout_ms": 800,
        },
    ],
}


@dataclass
class FakeServer:
    """Answer from a script, repeating the last reply of each target."""

    script: dict = field(default_factory=dict)
    requests: list = field(default_factory=list)
    url: str = ""

    def answer(self, method, target, body):
        self.requests.append((method, target, body))
        replies = self.script.get((method, target))
        if not replies:
            return 404, {"type": "urn:rhubarbhollow:problem:not_found"}
        return replies.pop(0) if len(replies) > 1 else replies[0]

    def targets(self):
        return [f"{method} {target}" for method, target, _ in self.requests]


class Handler(BaseHTTPRequestHandler):
    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        reply = self.server.fake.answer(self.command, self.path, body)
        self.close_connection = True
        if reply == LOST:
            return
        status, data = reply
        data = data if isinstance(data, bytes) else json.dumps(data).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = _serve  # noqa: N815

    def log_message(self, *arguments):
        pass


@pytest.fixture
def serve():
    started = []

    def start(script):
        fake = FakeServer({key: list(value) for key, value in script.items()})
        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        server.fake = fake
        fake.url = f"http://127.0.0.1:{server.server_port}"
        thread = threading.Thread(
            target=server.serve_forever,
            kwargs={"poll_interval": 0.01},
        )
        thread.start()
        started.append((server, thread))
        return fake

    yield start
    for server, thread in started:
        server.shutdown()
        server.server_close()
        thread.join()


@pytest.fixture
def closed_url():
    # Bound but not listening, so that connections are refused.
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{holder.getsockname()[1]}"


@pytest.fixture
def run():
    """Run the program with a clock that only its own sleeps advance."""
    clock = ManualClock()

    def invoke(*arguments, env=None):
        return CliRunner().invoke(
            cli,
            [str(argument) for argument in arguments],
            obj=Environment(clock, clock.advance),
            env=env,
        )

    return invoke


@pytest.fixture
def files(tmp_path, run):
    """Return a directory with a manifest, a key and an approval."""
    (tmp_path / "key").write_bytes(store_private_key(KEY))
    (tmp_path / "manifest").write_text(json.dumps(DOCUMENT))
    approved = run(
        "approve",
        tmp_path / "manifest",
        "--key",
        tmp_path / "key",
        "--out",
        tmp_path / "approval",
    )
    assert approved.exit_code == 0, approved.output
    return tmp_path


@pytest.fixture
def fakes():
    """Provide constants to tests, which cannot import this file."""
    return {"document": DOCUMENT, "key": KEY}


@pytest.fixture(autouse=True)
def _reset_logging():
    """Undo the process-wide logging configuration of a command."""
    yield
    structlog.reset_defaults()
