"""Validation and commitment of operators' submissions on the leader."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok, Result

from rhubarbhollow_daemon.http_response import (
    HttpResponse,
    answer_json,
    answer_problem,
)
from rhubarbhollow_release.approval_codec import read_approval
from rhubarbhollow_release.approval_fault import ApprovalFault
from rhubarbhollow_release.command import encode_command
from rhubarbhollow_release.manifest_fault import ManifestFaults
from rhubarbhollow_release.outcome import (
    Accepted,
    AlreadyAccepted,
    BaseMoved,
    Refused,
    StaleVersion,
    Superseded,
    VersionConflict,
)
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_replication.fault import (
    NotLeader,
    Overloaded,
    PayloadTooLarge,
    ProposeFault,
    StoreFailed,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_release.approval import Approval
    from rhubarbhollow_replication.replica import Replica

# Each release accepted concurrently costs one attempt to plan.
MAX_PLAN_ATTEMPTS: Final = 16

_log = structlog.get_logger()


class SubmissionService:
    """Validate and commit submissions on the leader.

    The body is that of the operator's request, unchanged, so every
    instance answers the same bytes in the same way.
    """

    def __init__(self, machine: ReleaseMachine, replica: Replica) -> None:
        self._machine = machine
        self._replica = replica

    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Commit a release, or return the problem that prevented it."""
        read = read_submission(request)
        if isinstance(read, Err):
            return read.err_value
        document, approval = read.ok_value
        # Parsing a large manifest would block calls on this node.
        parsed = await anyio.to_thread.run_sync(parse_manifest, document)
        if isinstance(parsed, Err):
            return _manifest_problem(parsed.err_value)
        for _ in range(MAX_PLAN_ATTEMPTS):
            planned = self._machine.ledger.plan_submission(
                parsed.ok_value,
                approval,
            )
            if isinstance(planned, Err):
                return _approval_problem(planned.err_value)
            command = encode_command(planned.ok_value)
            proposed = await self._replica.propose(command)
            if isinstance(proposed, Err):
                return _propose_problem(proposed.err_value)
            outcome = proposed.ok_value
            if not isinstance(outcome, BaseMoved):
                return _build_answer(outcome)
        return answer_problem(
            "contention",
            HTTPStatus.SERVICE_UNAVAILABLE,
            "other releases were accepted meanwhile; submit again",
        )


def answer_too_large(size_bytes: int, limit_bytes: int) -> HttpResponse:
    """Refuse a release that exceeds a log entry or a frame."""
    return answer_problem(
        "release_too_large",
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        "the release is too large to be replicated; nothing was accepted",
        {"size_bytes": size_bytes, "limit_bytes": limit_bytes},
    )


def read_submission(
    request: HttpRequest,
) -> Result[tuple[bytes, Approval], HttpResponse]:
    """Return the manifest's bytes and the approval of a request.

    Returns the problem to answer with if either is malformed.
    """
    parsed = request.json_object()
    if isinstance(parsed, Err):
        return Err(_bad_request(parsed.err_value.detail))
    document = parsed.ok_value
    if document.keys() != {"manifest", "approval"}:
        return Err(
            _bad_request("expected exactly the fields manifest and approval")
        )
    encoded = document["manifest"]
    if not isinstance(encoded, str):
        return Err(_bad_request("expected manifest to be a base64 string"))
    try:
        manifest = base64.b64decode(encoded, validate=True)
    except binascii.Error as error:
        return Err(_bad_request(f"manifest is not valid base64: {error}"))
    approval = read_approval(document["approval"])
    if isinstance(approval, Err):
        return Err(_approval_problem(approval.err_value))
    return Ok((manifest, approval.ok_value))


def _build_answer(outcome: object) -> HttpResponse:
    match outcome:
        case Accepted(position, version, digest):
            _log.info("release_accepted", position=position, version=version)
            return _accepted_answer("accepted", position, version, digest)
        case AlreadyAccepted(position, version, digest):
            return _accepted_answer(
                "already_accepted", position, version, digest
            )
        case VersionConflict(version, winner_digest, winner_position):
            return answer_problem(
                "version_conflict",
                HTTPStatus.CONFLICT,
                f"version {version} was already accepted with other content",
                {
                    "version": version,
                    "winner_digest": winner_digest.hex(),
                    "winner_position": winner_position,
                },
            )
        case StaleVersion(version, highest):
            return _version_problem("stale_version", version, highest)
        case Superseded(version, highest):
            return _version_problem("superseded", version, highest)
        case Refused(ManifestFaults() as faults):
            return _manifest_problem(faults)
        case Refused(ApprovalFault() as fault):
            return _approval_problem(fault)
        case _:
            return answer_problem(
                "refused",
                HTTPStatus.UNPROCESSABLE_ENTITY,
                repr(outcome),
            )


def _accepted_answer(
    outcome: str,
    position: int,
    version: int,
    digest: bytes,
) -> HttpResponse:
    return answer_json(
        {
            "outcome": outcome,
            "position": position,
            "version": version,
            "digest": digest.hex(),
        }
    )


def _version_problem(kind: str, version: int, highest: int) -> HttpResponse:
    return answer_problem(
        kind,
        HTTPStatus.CONFLICT,
        f"version {version} is not above the highest version {highest}",
        {"version": version, "highest_version": highest},
    )


def _manifest_problem(faults: ManifestFaults) -> HttpResponse:
    return answer_problem(
        "manifest_invalid",
        HTTPStatus.UNPROCESSABLE_ENTITY,
        f"the manifest has {len(faults.faults)} faults",
        {
            "faults": [
                {
                    "path": fault.path,
                    "kind": fault.kind.value,
                    "detail": fault.detail,
                }
                for fault in faults.faults
            ]
        },
    )


def _approval_problem(fault: ApprovalFault) -> HttpResponse:
    return answer_problem(
        "approval_refused",
        HTTPStatus.FORBIDDEN,
        fault.detail,
        {"fault": fault.kind.value},
    )


def _propose_problem(fault: ProposeFault) -> HttpResponse:
    match fault:
        case NotLeader():
            return answer_problem(
                "no_leader",
                HTTPStatus.SERVICE_UNAVAILABLE,
                "this instance is not the leader; nothing was accepted",
            )
        case Overloaded():
            return answer_problem(
                "overloaded",
                HTTPStatus.SERVICE_UNAVAILABLE,
                "too many proposals are pending; nothing was accepted",
            )
        case PayloadTooLarge(size_bytes, limit_bytes):
            return answer_too_large(size_bytes, limit_bytes)
        case StoreFailed():
            return answer_problem(
                "store_failed",
                HTTPStatus.SERVICE_UNAVAILABLE,
                "the log store of this instance failed; nothing was accepted",
            )
        case _:
            return answer_problem(
                "outcome_unknown",
                HTTPStatus.GATEWAY_TIMEOUT,
                "the release may or may not be accepted; submit it again",
            )


def _bad_request(detail: str) -> HttpResponse:
    return answer_problem("bad_request", HTTPStatus.BAD_REQUEST, detail)
