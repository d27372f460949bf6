"""Validation and planning of submitted documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import structlog
from result import Err

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_release.approval import approve_by_channel
from rhubarbhollow_release.command import encode_command

if TYPE_CHECKING:
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_release.resource_set import ResourceSet

# Each release accepted concurrently costs one attempt to plan.
MAX_PLAN_ATTEMPTS: Final = 16

_log = structlog.get_logger()


class CommandLog(Protocol):
    """The log that commands are committed to."""

    async def propose(self, command: bytes) -> DocumentOutcome:
        """Commit a command and return the ledger's verdict on it."""
        ...

    async def confirm(self) -> bool:
        """Return whether the ledger here has all that is accepted."""
        ...


class DocumentService:
    """Accept documents by compare-and-swap on the base version.

    The base version is compared with the latest release of the ledger
    here, and the command carries that release's digest. If another
    release was accepted meanwhile, the command fails; the ledger then
    catches up and the comparison is repeated.
    """

    def __init__(
        self,
        mesh: str,
        machine: ReleaseMachine,
        log: CommandLog,
        format_: DocumentFormat,
    ) -> None:
        self._mesh = mesh
        self._machine = machine
        self._log = log
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
        for _ in range(MAX_PLAN_ATTEMPTS):
            refusal = self._check_versions(target, base_version)
            if refusal is not None:
                # The ledger here may lack accepted releases; once it is
                # confirmed it lacks none.
                if not await self._log.confirm():
                    return _ledger_unconfirmed()
                refusal = self._check_versions(target, base_version)
            if refusal is not None:
                return refusal
            outcome = await self._propose(target)
            if outcome.verdict is not DocumentVerdict.BASE_MOVED:
                return outcome
            if not await self._log.confirm():
                return _ledger_unconfirmed()
        return DocumentOutcome(
            DocumentVerdict.UNAVAILABLE,
            "other releases were accepted meanwhile; submit again",
        )

    async def _propose(self, target: ResourceSet) -> DocumentOutcome:
        version = target.header.version
        approval = approve_by_channel(self._mesh, version, target.digest)
        planned = self._machine.ledger.plan_resources(target, approval)
        if isinstance(planned, Err):
            detail = planned.err_value.detail
            return DocumentOutcome(DocumentVerdict.INVALID, detail)
        return await self._log.propose(encode_command(planned.ok_value))

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


def _ledger_unconfirmed() -> DocumentOutcome:
    return DocumentOutcome(
        DocumentVerdict.UNAVAILABLE,
        "no quorum confirmed the latest release",
    )
