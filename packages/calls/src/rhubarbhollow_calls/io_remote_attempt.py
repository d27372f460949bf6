"""Attempts that go through the chosen upstream's node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.io_attempt import Attempt, AttemptFailure
from rhubarbhollow_calls.not_run_proof import RefusedByPeer
from rhubarbhollow_calls.refusal import (
    Executed,
    Refusal,
    RefusalKind,
    maybe_refusal_kind,
    parse_executed,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_attempt import AttemptOwner
    from rhubarbhollow_calls.io_pool import ConnectionPool
    from rhubarbhollow_calls.io_request_body import RequestBody


class RemoteAttempt(Attempt):
    """Forward a request to another node's peer port.

    That node states with each refusal whether the request may have run.
    An upstream cannot forge this, since its node removes these
    header fields from responses.
    """

    __slots__ = ("_endpoint", "_peers")

    def __init__(
        self,
        owner: AttemptOwner,
        head: RequestHead,
        body: RequestBody,
        endpoint: Endpoint,
        peers: ConnectionPool,
    ) -> None:
        super().__init__(owner, head, body)
        self._endpoint = endpoint
        self._peers = peers

    def start(self) -> None:
        """Acquire a connection to the node."""
        self._acquire(self._peers)

    def _release_resources(self, result: CallResult) -> None:
        """Do nothing, since the other node manages the slot."""

    def _is_refusal(self, head: ResponseHead) -> bool:
        return head.executed is not None

    def _read_refusal(self, head: ResponseHead) -> AttemptFailure:
        kind = maybe_refusal_kind(head.refusal) or RefusalKind.OUTCOME_UNKNOWN
        detail = f"node {self._endpoint.node} refused the request"
        is_not_run = parse_executed(head.executed) is Executed.NO
        if is_not_run and kind is not RefusalKind.OUTCOME_UNKNOWN:
            proof = RefusedByPeer(self._endpoint.node)
            refusal = Refusal.not_run(kind, proof, detail)
            result = CallResult.REFUSED_NOT_RUN
            backlog = None if head.slots is None else head.slots.backlog
            if kind is RefusalKind.QUEUE_FULL and backlog is not None:
                result = CallResult.BUSY
            return AttemptFailure(refusal, result, backlog, head.position)
        refusal = Refusal.unknown(kind, detail)
        return AttemptFailure(refusal, CallResult.BROKEN)
