"""Withdrawal to the content of an older release."""

import json

import pytest

from rhubarbhollow_cli.exit_code import ExitCode
from rhubarbhollow_release.approval import verify_approval
from rhubarbhollow_release.approval_codec import read_approval
from rhubarbhollow_release.canonical import canonical_bytes, digest_of
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.parsing import parse_manifest

POST = ("POST", "/v1/releases")
REPLY = {"outcome": "accepted", "position": 10, "version": 10, "digest": "ab"}


@pytest.fixture
def server(serve, fakes):
    manifest = parse_manifest(json.dumps(fakes["document"]).encode()).unwrap()
    releases = [{"position": 8, "version": 8}, {"position": 9, "version": 9}]
    return serve(
        {
            ("GET", "/v1/releases"): [(200, {"releases": releases})],
            ("GET", "/v1/releases/8/manifest"): [
                (200, canonical_bytes(manifest)),
            ],
            POST: [(200, REPLY)],
        },
    )


def test_writes_the_older_content_with_a_higher_version(
    run,
    files,
    server,
    fakes,
):
    """Without a key, the manifest is written but not submitted.

    An existing file must not be overwritten.
    """
    out = files / "new"
    source = ("--to-position", "8", "--server", server.url)
    result = run("withdraw", *source, "--out", out, "--output", "json")
    assert result.exit_code == ExitCode.DONE, result.output
    new = json.loads(out.read_text())
    old = json.loads(
        canonical_bytes(
            parse_manifest(json.dumps(fakes["document"]).encode()).unwrap(),
        ),
    )
    assert new == {**old, "version": 10}
    assert json.loads(result.stdout)["version"] == 10
    assert "POST /v1/releases" not in server.targets()
    again = run("withdraw", *source, "--out", out)
    assert again.exit_code == ExitCode.BAD_INPUT


def test_approves_and_submits_at_once_with_a_key(run, files, server, fakes):
    result = run(
        "withdraw",
        "--manifest",
        files / "manifest",
        "--key",
        files / "key",
        "--no-wait",
        "--output",
        "json",
        env={"RHUBARBHOLLOW_SERVERS": server.url},
    )
    assert result.exit_code == ExitCode.DONE, result.output
    assert json.loads(result.stdout) == REPLY
    sent = json.loads(server.requests[-1][2])
    approval = read_approval(sent["approval"]).unwrap()
    public = fakes["key"].public_key()
    document = {**fakes["document"], "version": 10}
    manifest = parse_manifest(json.dumps(document).encode()).unwrap()
    verified = verify_approval(
        approval,
        mesh="lab",
        version=10,
        digest=digest_of(canonical_bytes(manifest)),
        trusted={key_id_of(public): public},
    )
    assert verified.is_ok()


@pytest.mark.parametrize(
    ("options", "code"),
    [
        ((), ExitCode.BAD_INPUT),
        (("--to-position", "8"), ExitCode.BAD_INPUT),
        (("--to-position", "0", "--out", "x"), ExitCode.BAD_INPUT),
        (("--to-position", "7", "--out", "x"), ExitCode.BAD_INPUT),
        (
            ("--to-position", "8", "--out", "x", "--version", "9"),
            ExitCode.BAD_INPUT,
        ),
        (
            ("--to-position", "8", "--manifest", "/dev/null", "--out", "x"),
            ExitCode.BAD_INPUT,
        ),
    ],
)
def test_rejects_invalid_options(run, server, options, code, tmp_path):
    options = [tmp_path / "x" if part == "x" else part for part in options]
    result = run("withdraw", *options, "--server", server.url)
    assert result.exit_code == code
    assert not (tmp_path / "x").exists()
    assert "POST /v1/releases" not in server.targets()


@pytest.mark.parametrize(
    "releases",
    [{}, {"releases": [1]}, {"releases": [{"version": "9"}]}],
)
def test_sends_nothing_without_a_known_highest_version(
    run, files, serve, releases
):
    """An unreadable list of releases must not count as an empty one."""
    server = serve({("GET", "/v1/releases"): [(200, releases)]})
    source = ("--manifest", files / "manifest", "--server", server.url)
    result = run("withdraw", *source, "--key", files / "key")
    assert result.exit_code == ExitCode.UNKNOWN
    assert server.targets() == ["GET /v1/releases"]
