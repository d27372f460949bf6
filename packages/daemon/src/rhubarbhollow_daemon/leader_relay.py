"""Handing operators' requests to the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog

from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_daemon.http_response import (
    JSON_TYPE,
    PROBLEM_TYPE,
    HttpResponse,
    answer_problem,
)
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeAnswer
from rhubarbhollow_daemon.propose_relay import ProposeRelay
from rhubarbhollow_daemon.submission import answer_too_large
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_replication.role import Role
from rhubarbhollow_wire.codec import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from rhubarbhollow_daemon.messages import ProposeRequest
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.submission import SubmissionDesk
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

SUBMIT_DEADLINE_SECONDS: Final = 8.0
ANSWER_TIMEOUT_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.1
MAX_RELAYED: Final = 64
# the rest of a frame is left to the message around the body
MAX_SUBMISSION_BYTES: Final = MAX_FRAME_BYTES - 1_024

HTTP_OK: Final = 200
HTTP_INTERNAL_ERROR: Final = 500
HTTP_UNAVAILABLE: Final = 503
HTTP_TIMEOUT: Final = 504

_log = structlog.get_logger()


class LeaderRelay:
    """Have a submission answered by whoever leads.

    The same bytes get the same answer from any leader, so a lost
    answer is asked for again until the deadline. Only after a request
    may have reached a leader is the outcome called unknown.
    """

    def __init__(
        self,
        own_name: str,
        replica: Replica,
        desk: SubmissionDesk,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._own_name = own_name
        self._replica = replica
        self._desk = desk
        self._links = links
        self._clock = clock
        self._relay = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.RELEASE
        )
        self._relayed = anyio.CapacityLimiter(MAX_RELAYED)

    async def submit(self, body: bytes) -> HttpResponse:
        """Return the leader's answer, or why there is none."""
        if len(body) > MAX_SUBMISSION_BYTES:
            # the leader would close the link on a frame of this size
            return answer_too_large(len(body), MAX_SUBMISSION_BYTES)
        deadline = self._clock.monotonic() + SUBMIT_DEADLINE_SECONDS
        is_outcome_open = False
        response = _no_leader()
        while self._clock.monotonic() < deadline:
            response = await self._submit_once(body)
            if response.status not in (HTTP_UNAVAILABLE, HTTP_TIMEOUT):
                return response
            is_outcome_open |= response.status == HTTP_TIMEOUT
            await anyio.sleep(RETRY_SECONDS)
        return _unknown() if is_outcome_open else response

    def take_answer(self, answer: ProposeAnswer) -> None:
        """Hand a leader's answer to whoever waits for it."""
        self._relay.take(answer)

    async def serve(self, control: str, request: ProposeRequest) -> None:
        """Answer a submission that another instance handed over."""
        async with self._relayed:
            response = await self._submit_safely(request.payload)
        self._links.send(
            control,
            ProposeAnswer(
                request.request_id,
                response.status,
                response.body,
                self._replica.status.leader or "",
            ),
        )

    async def _submit_safely(self, body: bytes) -> HttpResponse:
        try:
            return await self._submit_here(body)
        except Exception:
            # it would end this process, and that of the next leader
            _log.exception("relayed_submission_failed")
            return answer_problem(
                "internal_error",
                HTTP_INTERNAL_ERROR,
                "the leader's log has the cause",
            )

    async def _submit_here(self, body: bytes) -> HttpResponse:
        request = HttpRequest("POST", "/v1/releases", "", body)
        with anyio.move_on_after(SUBMIT_DEADLINE_SECONDS):
            return await self._desk.submit(request)
        return _unknown()

    async def _submit_once(self, body: bytes) -> HttpResponse:
        status = self._replica.status
        if status.role is Role.LEADER:
            return await self._submit_here(body)
        leader = status.leader or ""
        link = self._links.by_name.get(leader)
        if link is None or not link.is_up:
            return _no_leader()
        answer = await self._relay.ask(
            leader,
            body,
            ANSWER_TIMEOUT_SECONDS,
        )
        if answer is None:
            return _unknown()
        is_ok = answer.status == HTTP_OK
        content_type = JSON_TYPE if is_ok else PROBLEM_TYPE
        return HttpResponse(answer.status, answer.outcome, content_type)


def _no_leader() -> HttpResponse:
    return answer_problem(
        "no_leader",
        HTTP_UNAVAILABLE,
        "no leader is known; nothing was accepted",
    )


def _unknown() -> HttpResponse:
    return answer_problem(
        "outcome_unknown",
        HTTP_TIMEOUT,
        "the release may or may not be accepted; submit it again",
    )
