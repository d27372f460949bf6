"""Submission and reading of documents on any control instance."""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok, Result

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeAnswer
from rhubarbhollow_daemon.propose_relay import ProposeRelay
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.document_service import DocumentService
    from rhubarbhollow_daemon.messages import ProposeRequest
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_release.resource_set import ResourceSet
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

# Operators' clients try another instance after one second.
ANSWER_DEADLINE_SECONDS: Final = 0.9
# Enough for the log to sync twice on a slow disk.
RETRY_SECONDS: Final = 0.05
MAX_RELAYED_REQUESTS: Final = 64
MAX_DOCUMENT_BYTES: Final = 12 << 20

_COMPRESSION_LEVEL: Final = 1
_BASE_VERSION: Final = struct.Struct(">Q")
_LOG_INDEX: Final = struct.Struct(">Q")

_log = structlog.get_logger()


class DocumentRelay:
    """Submit documents to the leader and serve linearizable reads.

    A read requests the commit index from the leader, which confirms its
    leadership with a quorum round, and waits until this instance has
    applied the log up to that index. Without a confirmed index the read
    fails.
    """

    def __init__(
        self,
        replica: Replica,
        machine: ReleaseMachine,
        documents: DocumentService,
        format_: DocumentFormat,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._documents = documents
        self._format = format_
        self._links = links
        self._clock = clock
        self._submissions = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.DOCUMENT
        )
        self._reads = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.READ_INDEX
        )
        self._limiter = anyio.CapacityLimiter(MAX_RELAYED_REQUESTS)
        self._applied = anyio.Event()
        self._rendered: tuple[bytes, bytes] | None = None
        replica.on_applied(self._on_applied)

    async def submit(
        self, document: bytes, base_version: int
    ) -> DocumentOutcome:
        """Return the leader's verdict, or why none arrived in time."""
        deadline = self._clock.monotonic() + ANSWER_DEADLINE_SECONDS
        outcome = _unavailable("no leader is known")
        may_be_accepted = False
        payload: bytes | None = None
        while (remaining_seconds := deadline - self._clock.monotonic()) > 0:
            if self._replica.status.role is Role.LEADER:
                outcome = await self._submit_here(
                    document, base_version, remaining_seconds
                )
            else:
                payload = payload or _encode_submission(document, base_version)
                outcome = await self._relay_to_leader(
                    payload, remaining_seconds
                )
            if outcome.verdict < DocumentVerdict.UNAVAILABLE:
                return outcome
            may_be_accepted |= outcome.verdict is DocumentVerdict.UNKNOWN
            await anyio.sleep(RETRY_SECONDS)
        if may_be_accepted:
            return DocumentOutcome(DocumentVerdict.UNKNOWN, outcome.detail)
        return outcome

    async def read(self) -> Result[bytes, DocumentOutcome]:
        """Return the latest accepted document, confirmed by a quorum.

        Returns an ``UNAVAILABLE`` outcome if no leader confirms it in
        time, or if no release has been accepted yet.
        """
        with anyio.move_on_after(ANSWER_DEADLINE_SECONDS):
            while True:
                index = await self._read_index()
                if index is not None:
                    await self._wait_applied(index)
                    return self._render_latest()
                await anyio.sleep(RETRY_SECONDS)
        return Err(
            _unavailable("no leader confirmed the latest release in time")
        )

    def deliver_answer(self, answer: ProposeAnswer) -> None:
        """Deliver a leader's answer to the waiting request."""
        self._submissions.deliver(answer)
        self._reads.deliver(answer)

    async def serve(self, control: str, request: ProposeRequest) -> None:
        """Answer a request that another control instance relayed."""
        async with self._limiter:
            try:
                answer = await self._answer(request)
            except Exception:
                # An uncaught exception would end this process, and a
                # retry would end the next leader.
                _log.exception("relayed_document_failed", peer=control)
                return
        self._links.send(control, answer)

    async def _answer(self, request: ProposeRequest) -> ProposeAnswer:
        leader = self._replica.status.leader or ""
        if request.kind == SubmissionKind.READ_INDEX:
            index = await self._confirm_commit_index()
            payload = b"" if index is None else _LOG_INDEX.pack(index)
            return ProposeAnswer(request.request_id, 0, payload, leader)
        (base_version,) = _BASE_VERSION.unpack_from(request.payload)
        document = zlib.decompressobj().decompress(
            request.payload[_BASE_VERSION.size :], MAX_DOCUMENT_BYTES
        )
        outcome = await self._submit_here(
            document, base_version, ANSWER_DEADLINE_SECONDS
        )
        return ProposeAnswer(
            request.request_id,
            int(outcome.verdict),
            outcome.detail.encode(),
            leader,
        )

    async def _submit_here(
        self, document: bytes, base_version: int, seconds: float
    ) -> DocumentOutcome:
        with anyio.move_on_after(seconds):
            return await self._documents.submit(document, base_version)
        return DocumentOutcome(
            DocumentVerdict.UNKNOWN, "the document was not committed in time"
        )

    async def _relay_to_leader(
        self, payload: bytes, seconds: float
    ) -> DocumentOutcome:
        leader = self._replica.status.leader or ""
        link = self._links.by_name.get(leader)
        if link is None or not link.is_up:
            return _unavailable("no connection to a leader")
        answer = await self._submissions.ask(leader, payload, seconds)
        if answer is None:
            return DocumentOutcome(
                DocumentVerdict.UNKNOWN, "the leader did not answer"
            )
        return DocumentOutcome(
            DocumentVerdict(answer.status), answer.outcome.decode()
        )

    async def _read_index(self) -> int | None:
        status = self._replica.status
        if status.role is Role.LEADER:
            return await self._confirm_commit_index()
        leader = status.leader or ""
        link = self._links.by_name.get(leader)
        if link is None or not link.is_up:
            return None
        answer = await self._reads.ask(leader, b"", ANSWER_DEADLINE_SECONDS)
        if answer is None or not answer.outcome:
            return None
        (index,) = _LOG_INDEX.unpack(answer.outcome)
        return int(index)

    async def _confirm_commit_index(self) -> int | None:
        """Return the commit index at the call, or ``None``.

        ``None`` means that no quorum confirmed that this instance is
        the leader.
        """
        index = self._replica.status.commit_index
        if not await self._replica.confirm_leadership():
            return None
        return index

    async def _wait_applied(self, index: int) -> None:
        while self._replica.status.applied_index < index:
            await self._applied.wait()

    def _on_applied(self, index: int) -> None:
        del index
        self._applied.set()
        self._applied = anyio.Event()

    def _render_latest(self) -> Result[bytes, DocumentOutcome]:
        latest = self._machine.ledger.latest
        if latest is None:
            return Err(_unavailable("no release has been accepted yet"))
        return Ok(self._render(latest.resources))

    def _render(self, resources: ResourceSet) -> bytes:
        digest = resources.digest
        if self._rendered is None or self._rendered[0] != digest:
            self._rendered = digest, self._format.render(resources)
        return self._rendered[1]


def _encode_submission(document: bytes, base_version: int) -> bytes:
    packed = zlib.compress(document, _COMPRESSION_LEVEL)
    return _BASE_VERSION.pack(base_version) + packed


def _unavailable(detail: str) -> DocumentOutcome:
    return DocumentOutcome(DocumentVerdict.UNAVAILABLE, detail)
