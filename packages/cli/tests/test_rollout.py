"""Guards the commands that order and show rollouts."""

import json


def test_an_order_is_sent_until_it_is_answered(run, serve):
    """The same order gets the same answer, so it may be repeated."""
    answer = 200, {"outcome": "ordered", "service": "frame"}
    server = serve({("POST", "/v1/rollouts"): ["lost", (503, {}), answer]})
    result = run(
        *("rollout", "start", "frame", "v2", "--duration", "60"),
        *("--server", server.url),
    )
    assert result.exit_code == 0, result.output
    bodies = [json.loads(body) for _, _, body in server.requests]
    assert bodies == 3 * [
        {"service": "frame", "new_version": "v2", "duration_seconds": 60.0}
    ]


def test_a_conflict_has_its_own_exit_code(run, serve):
    kind = "urn:rhubarbhollow:problem:rollout_conflict"
    server = serve({("POST", "/v1/rollouts"): [(409, {"type": kind})]})
    result = run(
        *("rollout", "start", "frame", "v2", "--duration", "60"),
        *("--server", server.url),
    )
    assert result.exit_code == 4


def test_the_state_is_shown(run, serve):
    document = {"service": "a/b", "state": "rolled_back"}
    server = serve({("GET", "/v1/rollouts/a%2Fb"): [(200, document)]})
    result = run("rollout", "status", "a/b", "--server", server.url)
    assert result.exit_code == 0, result.output
    assert "rolled_back" in result.output
