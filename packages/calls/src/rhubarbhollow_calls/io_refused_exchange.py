"""The exchange for a call that is refused before it is routed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.io_counters import KEY_REFUSALS
from rhubarbhollow_calls.io_exchange import Exchange
from rhubarbhollow_calls.not_run_proof import UnwrittenStage
from rhubarbhollow_calls.refusal import RefusalKind

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.refusal import Refusal


# Kinds of refusal that follow a matching route.
_ROUTED_KINDS: Final = frozenset(
    (
        *KEY_REFUSALS,
        RefusalKind.QUOTA_EXCEEDED,
        RefusalKind.QUOTA_UNCONFIRMED,
    )
)


class RefusedExchange(Exchange):
    """Refuse a call without an attempt."""

    __slots__ = ("_detail", "_kind", "_retry_after_seconds")

    def __init__(
        self,
        node: CallNode,
        downstream: Downstream,
        head: RequestHead,
        request_id: bytes,
        kind: RefusalKind,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        deadline = Deadline.after_ms(
            head.mesh.timeout_ms or 0, node.clock.monotonic()
        )
        super().__init__(node, downstream, head, request_id, deadline)
        self._kind = kind
        self._detail = detail
        self._retry_after_seconds = retry_after_seconds

    def start(self) -> None:
        """Refuse the call immediately."""
        self._refuse_unwritten(
            self._kind, UnwrittenStage.ROUTING, self._detail
        )

    def _retry_after(self, refusal: Refusal) -> float | None:
        if self._retry_after_seconds is None:
            return super()._retry_after(refusal)
        return self._node.round_retry_after(self._retry_after_seconds)

    def _refusal_field_lines(self) -> bytes:
        return self._node.position_field_line

    def _count_refusal(self, refusal: Refusal) -> None:
        if refusal.kind not in _ROUTED_KINDS:
            self._node.counters.unrouted += 1
        snapshot = self._node.snapshot
        self._node.observer.call_not_begun(
            self._request_id,
            refusal,
            0 if snapshot is None else snapshot.position,
        )
