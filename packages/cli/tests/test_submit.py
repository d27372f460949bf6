"""Submission of releases: retries, faults and waiting."""

import base64
import json
from dataclasses import asdict

import pytest

from rhubarbhollow_cli.exit_code import ExitCode
from rhubarbhollow_cli.replies import FleetStatus

POST = ("POST", "/v1/releases")
STATUS = ("GET", "/v1/status")
REPLY = {"outcome": "accepted", "position": 9, "version": 8, "digest": "ab"}
ACCEPTED = (200, REPLY)
AGAIN = (200, {**REPLY, "outcome": "already_accepted"})
LOST = "lost"


def status(*fields):
    return 200, asdict(FleetStatus(*fields))


def problem(status, kind, **members):
    document = {"type": f"urn:rhubarbhollow:problem:{kind}", "title": kind}
    return status, {**document, "status": status, "detail": "why", **members}


NO_LEADER = problem(503, "no_leader")
UNKNOWN = problem(504, "outcome_unknown")
IN_FORCE = status(True, 9, 3, 3)


def submit(run, files, servers, *options):
    return run(
        "submit",
        files / "manifest",
        "--approval",
        files / "approval",
        "--output",
        "json",
        *(part for server in servers for part in ("--server", server.url)),
        *options,
    )


@pytest.mark.parametrize(
    ("scripts", "outcome"),
    [
        ([[ACCEPTED]], "accepted"),
        ([[NO_LEADER], [ACCEPTED]], "accepted"),
        ([[LOST], [AGAIN]], "already_accepted"),
        ([[UNKNOWN, AGAIN]], "already_accepted"),
        ([[LOST, LOST, AGAIN]], "already_accepted"),
        ([[NO_LEADER, LOST, AGAIN], [problem(500, "internal_error")]],
         "already_accepted"),
    ],
)  # fmt: skip
def test_sends_the_same_bytes_until_answered(
    run,
    files,
    serve,
    scripts,
    outcome,
):
    """A request repeated after a lost reply must have the same bytes.

    Only then does the ledger return its first answer again.
    """
    servers = [serve({POST: script, STATUS: [IN_FORCE]}) for script in scripts]
    result = submit(run, files, servers)
    assert result.exit_code == ExitCode.DONE, result.output
    expected = {**REPLY, "outcome": outcome}
    counts = {"nodes_in_force": 3, "nodes_known": 3}
    assert json.loads(result.stdout) == {**expected, **counts}
    bodies = {
        body
        for server in servers
        for method, _, body in server.requests
        if method == "POST"
    }
    assert len(bodies) == 1
    sent = json.loads(bodies.pop())
    document = (files / "manifest").read_bytes()
    assert base64.b64decode(sent["manifest"]) == document
    approval = json.loads((files / "approval").read_text())
    assert sent["approval"] == approval


@pytest.mark.parametrize(
    ("script", "code", "kind"),
    [
        (
            [problem(409, "version_conflict", winner_digest="cd")],
            ExitCode.CONFLICT,
            "version_conflict",
        ),
        ([problem(409, "stale_version")], ExitCode.CONFLICT, "stale_version"),
        ([problem(409, "superseded")], ExitCode.CONFLICT, "superseded"),
        (
            [problem(403, "approval_refused", fault="unknown_key")],
            ExitCode.REFUSED,
            "approval_refused",
        ),
        (
            [problem(422, "manifest_invalid", faults=[{"path": "/routes"}])],
            ExitCode.REFUSED,
            "manifest_invalid",
        ),
        ([problem(400, "bad_request")], ExitCode.BAD_INPUT, "bad_request"),
        ([(404, b"<html>")], ExitCode.BAD_INPUT, "unknown"),
        ([NO_LEADER], ExitCode.UNKNOWN, "unreachable"),
        ([UNKNOWN], ExitCode.UNKNOWN, "outcome_unknown"),
        ([LOST], ExitCode.UNKNOWN, "outcome_unknown"),
        ([LOST, NO_LEADER], ExitCode.UNKNOWN, "outcome_unknown"),
        ([(200, b"[]")], ExitCode.UNKNOWN, "bad_reply"),
        ([(200, b"{")], ExitCode.UNKNOWN, "bad_reply"),
        (
            [(200, {**REPLY, "position": True})],
            ExitCode.UNKNOWN,
            "bad_reply",
        ),
    ],
)
def test_failures_have_a_kind_and_an_exit_code(
    run, files, serve, script, code, kind
):
    """Scripts rely on both to decide whether to submit again.

    After a lost reply, "unreachable" would claim that nothing was done.
    """
    server = serve({POST: script, STATUS: [IN_FORCE]})
    result = submit(run, files, [server])
    assert result.exit_code == code
    assert result.stdout == ""
    error = json.loads(result.stderr)
    assert error["kind"] == kind
    if len(script) == 1 and script[0] != LOST and script[0][0] in (409, 422):
        members = script[0][1].keys() - {"type", "title", "status", "detail"}
        assert members <= error.keys()


def test_conflict_is_printed_as_text(run, files, serve):
    conflict = problem(409, "version_conflict", winner_digest="cd\x1b[2J")
    server = serve({POST: [conflict]})
    result = submit(run, files, [server], "--output", "table")
    assert result.exit_code == ExitCode.CONFLICT
    assert "version_conflict: why" in result.stderr
    assert "winner_digest: cd?[2J" in result.stderr


def test_prints_the_fault_of_a_refused_approval(run, files, serve):
    refused = problem(403, "approval_refused", fault="unknown_key")
    server = serve({POST: [refused]})
    result = submit(run, files, [server], "--output", "table")
    first = result.stderr.splitlines()[0]
    assert first == "Error: approval_refused: unknown_key why"


def test_refused_connections_leave_no_unknown_outcome(
    run, files, closed_url, serve
):
    """A request that was never sent cannot have been executed."""

    class Closed:
        url = closed_url

    result = submit(run, files, [Closed])
    assert result.exit_code == ExitCode.UNKNOWN
    error = json.loads(result.stderr)
    assert error["kind"] == "unreachable"
    assert error["attempts"][0]["kind"] == "not_sent"
    server = serve({POST: [ACCEPTED], STATUS: [IN_FORCE]})
    assert submit(run, files, [Closed, server]).exit_code == ExitCode.DONE


def test_shows_progress_until_in_force_everywhere(run, files, serve):
    """A repeated status is printed once, and an invalid one is skipped.

    A status without nodes must not count as in force everywhere.
    """
    steps = [
        status(True, 8, 3, 3),
        status(True, 9, 3, 1),
        status(True, 9, 3, 1),
        status(True, 9, 0, 0),
        (200, {"is_fresh": "yes"}),
        status(True, 10, 3, 3),
    ]
    server = serve({POST: [ACCEPTED], STATUS: steps})
    as_json = submit(run, files, [serve(server.script)])
    lines = [json.loads(line) for line in as_json.stderr.splitlines()]
    assert [line.get("nodes_in_force") for line in lines] == [None, 3, 1, 0]
    result = submit(run, files, [server], "--output", "table")
    assert result.exit_code == ExitCode.DONE
    assert result.stderr.splitlines() == [
        "accepted at position 9",
        "position 8 is active, on 3 of 3 nodes",
        "position 9 is active, on 1 of 3 nodes",
        "position 9 is active, on 0 of 0 nodes",
    ]


def test_ignores_the_counts_of_an_instance_that_is_not_fresh(
    run, files, serve
):
    """The counts of an isolated instance may be outdated."""
    isolated = serve({POST: [ACCEPTED], STATUS: [status(False, 9, 3, 3)]})
    fresh = serve({STATUS: [status(True, 9, 3, 2), IN_FORCE]})
    result = submit(run, files, [isolated, fresh])
    assert result.exit_code == ExitCode.DONE
    assert isolated.targets().count("GET /v1/status") == 1
    alone = submit(run, files, [serve(isolated.script)])
    assert alone.exit_code == ExitCode.UNKNOWN


LATE = {"name": "n", "control": "c", "active_position": 8}


@pytest.mark.parametrize(
    ("nodes", "expected"),
    [
        ([LATE, {**LATE, "active_position": 9}], [LATE]),
        ([LATE] * 30, [LATE] * 20),
        ([1], []),
        ([{"name": "n"}], []),
        (None, []),
    ],
)
def test_reports_an_accepted_release_that_is_not_in_force_in_time(
    run,
    files,
    serve,
    nodes,
    expected,
):
    """The operator needs to know that the release was accepted.

    Invalid lists of nodes must not hide this result.
    """
    script = {
        POST: [ACCEPTED],
        STATUS: [status(True, 9, 3, 2)],
        ("GET", "/v1/nodes"): [(200, {"nodes": nodes})],
    }
    result = submit(run, files, [serve(script)], "--timeout", "5")
    assert result.exit_code == ExitCode.UNKNOWN
    error = json.loads(result.stderr.splitlines()[-1])
    assert error["kind"] == "not_confirmed"
    assert error["position"] == 9
    assert error["last_status"]["nodes_in_force"] == 2
    assert error["lagging"] == expected


def test_waits_within_a_short_timeout(run, files, serve):
    """Time kept for the final query must not use up a short timeout."""
    steps = [status(True, 9, 3, 2), IN_FORCE]
    server = serve({POST: [ACCEPTED], STATUS: steps})
    result = submit(run, files, [server], "--timeout", "0.5")
    assert result.exit_code == ExitCode.DONE


def test_no_wait_ends_after_the_submission(run, files, serve):
    server = serve({POST: [ACCEPTED]})
    result = submit(run, files, [server], "--no-wait")
    assert json.loads(result.stdout) == REPLY
    assert server.targets() == ["POST /v1/releases"]


@pytest.mark.parametrize(
    ("field", "value", "kind"),
    [
        ("version", 9, "other_version"),
        ("mesh", "sea", "other_mesh"),
        ("digest", "00" * 32, "other_digest"),
        ("digest", "", "malformed"),
    ],
)
def test_sends_nothing_if_the_approval_does_not_match(
    run,
    files,
    serve,
    field,
    value,
    kind,
):
    """A mismatch must be detected before any request is sent."""
    approval = json.loads((files / "approval").read_text())
    text = json.dumps({**approval, field: value})
    (files / "approval").write_text(text)
    server = serve({POST: [ACCEPTED]})
    result = submit(run, files, [server])
    assert result.exit_code == ExitCode.BAD_INPUT
    assert json.loads(result.stderr)["kind"] == kind
    assert not server.requests
