"""Submission and reading of documents on any control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
from result import Err, Ok, Result

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_daemon.release_log import (
    ANSWER_DEADLINE_SECONDS,
    ReleaseLog,
    unavailable,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.document_service import DocumentService
    from rhubarbhollow_daemon.messages import ProposeAnswer, ProposeRequest
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_release.resource_set import ResourceSet
    from rhubarbhollow_wire.clock import Clock

# Enough for the log to sync twice on a slow disk.
RETRY_SECONDS: Final = 0.05


class DocumentRelay:
    """Submit documents and serve linearizable reads, with a deadline.

    A read confirms the ledger of this instance with a quorum round. If
    it is not confirmed, the read fails.
    """

    def __init__(
        self,
        log: ReleaseLog,
        machine: ReleaseMachine,
        documents: DocumentService,
        format_: DocumentFormat,
        clock: Clock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._documents = documents
        self._format = format_
        self._clock = clock
        self._rendered: tuple[bytes, bytes] | None = None

    @property
    def log(self) -> ReleaseLog:
        """Return the log that documents are committed to."""
        return self._log

    async def submit(
        self, document: bytes, base_version: int
    ) -> DocumentOutcome:
        """Return the log's verdict, or why none arrived in time."""
        deadline = self._clock.monotonic() + ANSWER_DEADLINE_SECONDS
        outcome = unavailable("no leader is known")
        may_be_accepted = False
        while (remaining_seconds := deadline - self._clock.monotonic()) > 0:
            outcome = await self._submit_once(
                document, base_version, remaining_seconds
            )
            if outcome.verdict.is_final:
                return outcome
            may_be_accepted |= outcome.verdict is DocumentVerdict.UNKNOWN
            await anyio.sleep(RETRY_SECONDS)
        if may_be_accepted:
            return DocumentOutcome(DocumentVerdict.UNKNOWN, outcome.detail)
        return outcome

    async def read(self) -> Result[bytes, DocumentOutcome]:
        """Return the latest accepted document, confirmed by a quorum.

        Returns an ``UNAVAILABLE`` outcome if no quorum confirms it in
        time, or if no release has been accepted yet.
        """
        with anyio.move_on_after(ANSWER_DEADLINE_SECONDS):
            while True:
                if await self._log.confirm():
                    return self._render_latest()
                await anyio.sleep(RETRY_SECONDS)
        return Err(
            unavailable("no leader confirmed the latest release in time")
        )

    def deliver_answer(self, answer: ProposeAnswer) -> None:
        """Deliver a leader's answer to the waiting request."""
        self._log.deliver_answer(answer)

    async def serve(self, control: str, request: ProposeRequest) -> None:
        """Answer a request that another control instance relayed."""
        await self._log.serve(control, request)

    async def _submit_once(
        self, document: bytes, base_version: int, seconds: float
    ) -> DocumentOutcome:
        with anyio.move_on_after(seconds):
            return await self._documents.submit(document, base_version)
        return DocumentOutcome(
            DocumentVerdict.UNKNOWN, "the document was not committed in time"
        )

    def _render_latest(self) -> Result[bytes, DocumentOutcome]:
        latest = self._machine.ledger.latest
        if latest is None:
            return Err(unavailable("no release has been accepted yet"))
        return Ok(self._render(latest.resources))

    def _render(self, resources: ResourceSet) -> bytes:
        digest = resources.digest
        if self._rendered is None or self._rendered[0] != digest:
            self._rendered = digest, self._format.render(resources)
        return self._rendered[1]
