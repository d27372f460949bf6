import json

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon import submission
from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_daemon.submission import SubmissionService
from rhubarbhollow_release.approval_fault import (
    ApprovalFault,
    ApprovalFaultKind,
)
from rhubarbhollow_release.manifest_fault import ManifestFaults
from rhubarbhollow_release.outcome import (
    Accepted,
    AlreadyAccepted,
    BaseMoved,
    NotActivatable,
    Refused,
    StaleVersion,
    Superseded,
    VersionConflict,
)
from rhubarbhollow_replication.fault import (
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    PayloadTooLarge,
    StoreFailed,
)
from rhubarbhollow_replication.store_fault import DiskFull

PREFIX = "urn:rhubarbhollow:problem:"
APPROVAL_KIND = next(iter(ApprovalFaultKind))
OUTCOMES = [
    (Ok(Accepted(3, 2, b"\1")), 200, None, {"position": 3, "digest": "01"}),
    (
        Ok(AlreadyAccepted(3, 2, b"\1")),
        200,
        None,
        {"outcome": "already_accepted"},
    ),
    (
        Ok(VersionConflict(2, b"\2", 1)),
        409,
        "version_conflict",
        {"winner_digest": "02", "winner_position": 1},
    ),
    (Ok(StaleVersion(1, 9)), 409, "stale_version", {"highest_version": 9}),
    (Ok(Superseded(1, 9)), 409, "superseded", {"highest_version": 9}),
    (Ok(Refused(ManifestFaults(()))), 422, "manifest_invalid", {"faults": []}),
    (
        Ok(Refused(ApprovalFault(APPROVAL_KIND, "x"))),
        403,
        "approval_refused",
        {"fault": APPROVAL_KIND.value},
    ),
    (Ok(NotActivatable(1, 0)), 422, "refused", {}),
    (Ok(BaseMoved(b"")), 503, "contention", {}),
    (Err(NotLeader(None)), 503, "no_leader", {}),
    (Err(Overloaded()), 503, "overloaded", {}),
    (Err(StoreFailed(DiskFull("log"))), 503, "store_failed", {}),
    (
        Err(PayloadTooLarge(9, 8)),
        413,
        "release_too_large",
        {"size_bytes": 9, "limit_bytes": 8},
    ),
    (Err(OutcomeUnknown()), 504, "outcome_unknown", {}),
]


class Replica:
    """Stand in for the replica, the state machine and its ledger."""

    def __init__(self, proposed):
        self.ledger = self
        self._proposed = proposed

    def plan_submission(self, manifest, approval):
        return Ok(None)

    async def propose(self, payload):
        return self._proposed


@pytest.mark.parametrize(("proposed", "status", "kind", "members"), OUTCOMES)
def test_each_outcome_maps_to_its_answer(
    monkeypatch, proposed, status, kind, members
):
    monkeypatch.setattr(submission, "read_submission", lambda _: Ok((b"", 0)))
    monkeypatch.setattr(submission, "parse_manifest", lambda _: Ok(None))
    monkeypatch.setattr(submission, "encode_command", lambda _: b"")
    replica = Replica(proposed)
    service = SubmissionService(replica, replica)
    request = HttpRequest("POST", "/v1/releases", "", b"")
    answer = anyio.run(service.submit, request)
    document = json.loads(answer.body)
    assert answer.status == status
    assert document.get("type") == (kind and PREFIX + kind)
    assert members.items() <= document.items()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        b"{}",
        b'{"manifest":1,"approval":{}}',
        b'{"manifest":"?","approval":{}}',
        b'{"manifest":"","approval":{},"more":1}',
    ],
)
def test_malformed_submission_is_a_bad_request(body):
    """A malformed body, deep nesting included, must not raise."""
    replica = Replica(None)
    service = SubmissionService(replica, replica)
    request = HttpRequest("POST", "/v1/releases", "", body)
    answer = anyio.run(service.submit, request)
    assert answer.status == 400
    assert json.loads(answer.body)["type"] == f"{PREFIX}bad_request"
