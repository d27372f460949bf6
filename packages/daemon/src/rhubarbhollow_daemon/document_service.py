"""Validation and commitment of submitted documents on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog
from result import Err

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_release.approval import approve_by_channel
from rhubarbhollow_release.command import encode_command
from rhubarbhollow_release.outcome import (
    Accepted,
    AlreadyAccepted,
    BaseMoved,
    Refused,
)
from rhubarbhollow_replication.fault import (
    NotLeader,
    Overloaded,
    PayloadTooLarge,
    ProposeFault,
    StoreFailed,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_release.resource_set import ResourceSet
    from rhubarbhollow_replication.replica import Replica

# Each release accepted concurrently costs one attempt to plan.
MAX_PLAN_ATTEMPTS: Final = 16

_log = structlog.get_logger()


class DocumentService:
    """Accept documents by compare-and-swap on the base version.

    The base version is compared with the latest release of the log, and
    the command carries that release's digest. If another release is
    accepted in between, the command fails and the comparison is
    repeated.
    """

    def __init__(
        self,
        mesh: str,
        machine: ReleaseMachine,
        replica: Replica,
        format_: DocumentFormat,
    ) -> None:
        self._mesh = mesh
        self._machine = machine
        self._replica = replica
        self._format = format_

    async def submit(
        self, document: bytes, base_version: int
    ) -> DocumentOutcome:
        """Submit a document that replaces version ``base_version``."""
        read = self._format.read(document)
        if isinstance(read, Err):
            fault = read.err_value
            detail = f"{fault.path}: {fault.detail}"
            return DocumentOutcome(DocumentVerdict.INVALID, detail)
        outcome = await self._submit(read.ok_value, base_version)
        _log.info(
            "document_submitted",
            version=read.ok_value.header.version,
            base_version=base_version,
            outcome=outcome.verdict.name.lower(),
            detail=outcome.detail,
        )
        return outcome

    async def _submit(
        self, target: ResourceSet, base_version: int
    ) -> DocumentOutcome:
        version = target.header.version
        approval = approve_by_channel(self._mesh, version, target.digest)
        for _ in range(MAX_PLAN_ATTEMPTS):
            refusal = self._check_versions(target, base_version)
            if refusal is not None:
                # A new leader may not have applied every accepted
                # release yet; after a quorum round it has.
                if not await self._replica.confirm_leadership():
                    return _leadership_unconfirmed()
                refusal = self._check_versions(target, base_version)
            if refusal is not None:
                return refusal
            planned = self._machine.ledger.plan_resources(target, approval)
            if isinstance(planned, Err):
                detail = planned.err_value.detail
                return DocumentOutcome(DocumentVerdict.INVALID, detail)
            command = encode_command(planned.ok_value)
            proposed = await self._replica.propose(command)
            if isinstance(proposed, Err):
                return _outcome_of_fault(proposed.err_value)
            if not isinstance(proposed.ok_value, BaseMoved):
                return _outcome_of(proposed.ok_value)
        return DocumentOutcome(
            DocumentVerdict.UNAVAILABLE,
            "other releases were accepted meanwhile; submit again",
        )

    def _check_versions(
        self, target: ResourceSet, base_version: int
    ) -> DocumentOutcome | None:
        ledger = self._machine.ledger
        version = target.header.version
        if ledger.find_answer(version, target.digest) is not None:
            return None
        current = ledger.highest_version
        if base_version != current:
            detail = f"the current version is {current}, not {base_version}"
            return DocumentOutcome(DocumentVerdict.CONFLICT, detail)
        if version <= current:
            detail = f"/version: {version} is not above the current {current}"
            return DocumentOutcome(DocumentVerdict.INVALID, detail)
        return None


def _leadership_unconfirmed() -> DocumentOutcome:
    return DocumentOutcome(
        DocumentVerdict.UNAVAILABLE,
        "no quorum confirmed that this instance is the leader",
    )


def _outcome_of(outcome: object) -> DocumentOutcome:
    match outcome:
        case Accepted(position, _, _):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED, f"accepted at position {position}"
            )
        case AlreadyAccepted(position, _, _):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED,
                f"already accepted at position {position}",
            )
        case Refused():
            return DocumentOutcome(DocumentVerdict.INVALID, repr(outcome))
        case _:
            return DocumentOutcome(DocumentVerdict.CONFLICT, repr(outcome))


def _outcome_of_fault(fault: ProposeFault) -> DocumentOutcome:
    match fault:
        case NotLeader() | Overloaded() | StoreFailed():
            verdict = DocumentVerdict.UNAVAILABLE
        case PayloadTooLarge():
            verdict = DocumentVerdict.INVALID
        case _:
            verdict = DocumentVerdict.UNKNOWN
    return DocumentOutcome(verdict, type(fault).__name__)
