"""Relay of operators' submissions to the leader."""

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
    from rhubarbhollow_daemon.submission import SubmissionService
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

SUBMIT_DEADLINE_SECONDS: Final = 8.0
ANSWER_TIMEOUT_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.1
MAX_RELAYED_SUBMISSIONS: Final = 64
# The rest of a frame is reserved for the message around the body.
MAX_SUBMISSION_BYTES: Final = MAX_FRAME_BYTES - 1_024

HTTP_OK: Final = 200
HTTP_INTERNAL_ERROR: Final = 500
HTTP_UNAVAILABLE: Final = 503
HTTP_TIMEOUT: Final = 504

_log = structlog.get_logger()


class LeaderRelay:
    """Submit releases to the current leader, here or on a peer.

    The same bytes get the same answer from any leader, so a submission
    whose answer was lost is repeated until the deadline. The outcome is
    reported as unknown only if a request may have reached a leader.
    """

    def __init__(
        self,
        own_name: str,
        replica: Replica,
        submissions: SubmissionService,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._own_name = own_name
        self._replica = replica
        self._submissions = submissions
        self._links = links
        self._clock = clock
        self._relay = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.RELEASE
        )
        self._relay_limiter = anyio.CapacityLimiter(MAX_RELAYED_SUBMISSIONS)

    async def submit(self, body: bytes) -> HttpResponse:
        """Return the leader's answer, or a problem if there is none."""
        if len(body) > MAX_SUBMISSION_BYTES:
            # The leader would close the link on a frame of this size.
            return answer_too_large(len(body), MAX_SUBMISSION_BYTES)
        deadline = self._clock.monotonic() + SUBMIT_DEADLINE_SECONDS
        may_be_accepted = False
        response = _no_leader_problem()
        while self._clock.monotonic() < deadline:
            response = await self._submit_once(body)
            if response.status not in (HTTP_UNAVAILABLE, HTTP_TIMEOUT):
                return response
            may_be_accepted |= response.status == HTTP_TIMEOUT
            await anyio.sleep(RETRY_SECONDS)
        return _unknown_outcome_problem() if may_be_accepted else response

    def deliver_answer(self, answer: ProposeAnswer) -> None:
        """Deliver a leader's answer to the waiting submission."""
        self._relay.deliver(answer)

    async def serve(self, control: str, request: ProposeRequest) -> None:
        """Answer a submission that another instance relayed."""
        async with self._relay_limiter:
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
            # An uncaught exception would end this process, and a retry
            # would end the next leader.
            _log.exception("relayed_submission_failed")
            return answer_problem(
                "internal_error",
                HTTP_INTERNAL_ERROR,
                "the submission failed on the leader; its log has the cause",
            )

    async def _submit_here(self, body: bytes) -> HttpResponse:
        request = HttpRequest("POST", "/v1/releases", "", body)
        with anyio.move_on_after(SUBMIT_DEADLINE_SECONDS):
            return await self._submissions.submit(request)
        return _unknown_outcome_problem()

    async def _submit_once(self, body: bytes) -> HttpResponse:
        status = self._replica.status
        if status.role is Role.LEADER:
            return await self._submit_here(body)
        leader = status.leader or ""
        link = self._links.by_name.get(leader)
        if link is None or not link.is_up:
            return _no_leader_problem()
        answer = await self._relay.ask(
            leader,
            body,
            ANSWER_TIMEOUT_SECONDS,
        )
        if answer is None:
            return _unknown_outcome_problem()
        is_ok = answer.status == HTTP_OK
        content_type = JSON_TYPE if is_ok else PROBLEM_TYPE
        return HttpResponse(answer.status, answer.outcome, content_type)


def _no_leader_problem() -> HttpResponse:
    return answer_problem(
        "no_leader",
        HTTP_UNAVAILABLE,
        "no leader is known; nothing was accepted",
    )


def _unknown_outcome_problem() -> HttpResponse:
    return answer_problem(
        "outcome_unknown",
        HTTP_TIMEOUT,
        "the release may or may not be accepted; submit it again",
    )
