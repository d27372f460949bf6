"""Commands that query servers, handle files, or print text."""

import json
import stat

import pytest
from result import Err, Ok

from rhubarbhollow_cli.exit_code import ExitCode
from rhubarbhollow_cli.server_address import ServerAddress, parse_server
from rhubarbhollow_cli.table import format_cell, format_table
from rhubarbhollow_release.approval_codec import decode_approval
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.keys import load_public_key

BURN = {
    "service": "desk",
    "state": "ok",
    "availability": 0.999,
    "availability_remaining": None,
    "latency_ms": 50,
    "windows": [
        {
            "window": "5m",
            "calls": 9,
            "failed": 1,
            "late": 0,
            "availability_burn": 111.1,
        },
    ],
    "parts": [
        {
            "scope": "route",
            "name": "lookup",
            "windows": [{"window": "1h", "calls": 9}],
        },
    ],
}


@pytest.mark.parametrize(
    ("arguments", "target", "document", "expected"),
    [
        (
            ["status"],
            "/v1/status",
            {"role": "leader", "members": [{"name": "a", "match_index": 4}]},
            ["role  leader", "NAME  ROLE  MATCH_INDEX", "a     -     4"],
        ),
        (
            ["releases"],
            "/v1/releases",
            {"releases": [{"position": 9, "version": 8, "digest": "ab"}]},
            ["9         8        -      ab      -"],
        ),
        (
            ["nodes"],
            "/v1/nodes",
            {"nodes": [{"name": "n", "age_seconds": 0.1234567}]},
            [("n     -            -        -                -                "
             "0.123457")],
        ),
        (["upstreams"], "/v1/upstreams", {"upstreams": []}, ["NAME  SERVICE"]),
        (
            ["explain", "route", "*", "/a b?"],
            "/v1/explain/route?host=%2A&path=%2Fa+b%3F",
            {"route": "r", "candidates": [{"is_local": True}]},
            ["route  r", "yes"],
        ),
        (
            ["explain", "request", "h", "/a", "--tenant", "t 1"],
            "/v1/explain/request?host=h&path=%2Fa&method=GET&tenant=t+1",
            {
                "decision": "forward",
                "tenant": {"name": "t 1"},
                "candidates": [{"upstream": "u", "chosen_as": 1.0}],
            },
            ["decision  forward", 'tenant    {"name":"t 1"}', "u "],
        ),
        (
            ["explain", "request", "h", "/a", "--method", "POST"],
            "/v1/explain/request?host=h&path=%2Fa&method=POST",
            {"decision": "refuse", "candidates": []},
            ["decision  refuse"],
        ),
        (
            ["explain", "call", "a/b"],
            "/v1/explain/call/a%2Fb",
            {"request_id": "a/b", "events": [{"at": 1, "what": "sent"}]},
            ["request_id  a/b", "AT  WHAT", "1   sent"],
        ),
        (
            ["explain", "node"],
            "/v1/explain/node",
            {"floor": 9, "source": None},
            ["floor   9", "source  -"],
        ),
        (
            ["report", "burn"],
            "/v1/burn",
            {"position": 3, "services": [BURN, {"service": "bench"}, 1]},
            [
                "position  3",
                "desk     ok     0.999         -                       50",
                "SERVICE  SCOPE    NAME    WINDOW  CALLS",
                "desk     service  desk    5m      9      1       0     111.1",
                "desk     route    lookup  1h      9      -",
            ],
        ),
    ],
)  # fmt: skip
def test_shows_documents(run, serve, arguments, target, document, expected):
    server = serve({("GET", target): [(200, document)]})
    result = run(*arguments, "--server", server.url)
    assert result.exit_code == ExitCode.DONE, result.output
    for line in expected:
        assert line in result.stdout
    as_json = run(*arguments, "--server", server.url, "--output", "json")
    assert json.loads(as_json.stdout) == document


def test_reads_fail_over_until_the_deadline(run, serve, closed_url):
    """A refused or closed connection must not end a read command.

    Without any server that answers, it ends at the deadline and reports
    the last failure at each server.
    """
    lost = serve({("GET", "/v1/nodes"): ["lost"]})
    good = serve({("GET", "/v1/nodes"): [(200, {"nodes": []})]})
    urls = f"{closed_url} {lost.url} {good.url}"
    env = {"RHUBARBHOLLOW_SERVERS": urls}
    assert run("nodes", env=env).exit_code == ExitCode.DONE
    env = {"RHUBARBHOLLOW_SERVERS": f"{closed_url} {lost.url}"}
    result = run("--verbose", "nodes", "--output", "json", env=env)
    assert result.exit_code == ExitCode.UNKNOWN
    error = json.loads(result.stderr.splitlines()[-1])
    assert error["kind"] == "unreachable"
    kinds = [attempt["kind"] for attempt in error["attempts"]]
    assert kinds == ["not_sent", "lost"]
    assert "event=attempt_failed" in result.stderr


def test_creates_a_private_key_that_signs_approvals(run, files):
    result = run("keygen", files / "new", "--output", "json")
    assert result.exit_code == ExitCode.DONE
    mode = stat.S_IMODE((files / "new").stat().st_mode)
    assert mode == 0o600
    public = load_public_key((files / "new.pub").read_bytes()).unwrap()
    key_id = json.loads(result.stdout)["key_id"]
    assert key_id == key_id_of(public)
    approved = run("approve", files / "manifest", "--key", files / "new")
    assert decode_approval(approved.stdout.encode()).unwrap().key_id == key_id
    assert run("keygen", files / "new").exit_code == ExitCode.BAD_INPUT


@pytest.mark.parametrize(
    "arguments",
    [
        ("validate", "no-such-file"),
        ("approve", "manifest", "--key", "manifest"),
        ("approve", "manifest"),
        ("approve", "manifest", "--key", "key", "--out", "approval"),
        ("nodes",),
        ("nodes", "--server", "http://localhost:1"),
        ("nodes", "--server", "http://127.0.0.1:1", "--timeout", "0"),
        ("completion", "tcsh"),
        ("unknown",),
    ],
)
def test_bad_input_has_its_own_exit_code(run, files, arguments):
    given = {"manifest", "key", "approval"}
    paths = [files / part if part in given else part for part in arguments]
    assert run(*paths).exit_code == ExitCode.BAD_INPUT


def test_lists_the_faults_of_a_manifest(run, files, fakes):
    good = run("validate", files / "manifest", "--output", "json")
    assert json.loads(good.stdout)["routes"] == 1
    document = {**fakes["document"], "extra": 1, "services": []}
    (files / "manifest").write_text(json.dumps(document))
    result = run("validate", files / "manifest")
    assert result.exit_code == ExitCode.BAD_INPUT
    assert "/extra             unknown_field" in result.stderr
    assert "/routes/0/service  missing_reference  desk" in result.stderr


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_prints_completion(run, shell):
    assert "_RHUBARBHOLLOW_COMPLETE" in run("completion", shell).stdout


def test_prints_its_version(run):
    assert run("version").stdout.startswith("version  ")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("http://10.0.0.1:80", ServerAddress("10.0.0.1", 80)),
        ("http://[::1]:80/", ServerAddress("::1", 80)),
        ("https://10.0.0.1:80", None),
        ("http://10.0.0.1", None),
        ("http://10.0.0.1:0", None),
        ("http://10.0.0.1:99999", None),
        ("http://name:80", None),
        ("http://10.0.0.1:80/path", None),
        ("http://a@10.0.0.1:80", None),
        ("http://[::1", None),
        ("10.0.0.1:80", None),
    ],
)
def test_reads_server_urls(text, expected):
    parsed = parse_server(text)
    if expected is None:
        assert isinstance(parsed, Err)
    else:
        assert parsed == Ok(expected)
        assert parse_server(str(expected)) == parsed


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, "-"),
        ("", "-"),
        (False, "no"),
        (1.5, "1.5"),
        ([1], "[1]"),
        ("a\x1b\n\u202e", "a???"),
    ],
)
def test_formats_cells(value, expected):
    """Control characters in a value must not reach the terminal."""
    assert format_cell(value) == expected
    assert format_table(("a",), [{"a": value}]) == f"A\n{expected}"
