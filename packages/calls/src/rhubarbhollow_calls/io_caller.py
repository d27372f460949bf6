"""The caller port: calls that this node routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.http_limits import MAX_DEPTH
from rhubarbhollow_calls.io_caller_exchange import CallerExchange
from rhubarbhollow_calls.io_keyed import KeyedExchange
from rhubarbhollow_calls.io_refusal_answer import encode_refusal, refuse_fault
from rhubarbhollow_calls.io_refused_exchange import RefusedExchange
from rhubarbhollow_calls.refusal import RefusalKind

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_exchange import Exchange
    from rhubarbhollow_calls.io_listener import ListenerConnection
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState


class CallerPort:
    """Open calls that come from callers."""

    def __init__(self, node: CallNode) -> None:
        self._node = node

    @property
    def is_from_node(self) -> bool:
        """Return false: most fields that nodes set are ignored."""
        return False

    @property
    def dialect(self) -> Dialect:
        """Return the field names of callers and upstreams."""
        return self._node.dialect

    def open_call(
        self, head: RequestHead, downstream: ListenerConnection
    ) -> Exchange:
        """Route a call on the release in force, or refuse it."""
        node = self._node
        mesh = head.mesh
        request_id = mesh.request_id or node.next_request_id()
        node.hear_hint(mesh.position)
        state = node.route(head.host, head.target)
        if state is None or mesh.depth >= MAX_DEPTH or node.is_draining:
            return self._open_refused(head, downstream, request_id, state)
        now = node.clock.monotonic()
        timeout_ms = state.route.timeout_ms
        if mesh.timeout_ms is not None:
            timeout_ms = min(timeout_ms, mesh.timeout_ms)
        deadline = Deadline.after_ms(timeout_ms, now)
        exchange = self._make_exchange(
            downstream, head, request_id, deadline, state, now
        )
        node.call_began(exchange)
        return exchange

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the whole answer to a request that cannot be read."""
        self._node.counters.malformed += 1
        return encode_refusal(
            refuse_fault(fault, is_written=False),
            self._node.next_request_id(),
            self._node.position_line,
            status=fault.status,
            is_last=True,
        )

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Note a connection."""
        self._node.connection_opened(connection)

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Forget a connection."""
        self._node.connection_closed(connection)

    def _make_exchange(
        self,
        downstream: ListenerConnection,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
        state: RouteState,
        now: float,
    ) -> CallerExchange:
        node = self._node
        key = head.idempotency_key
        if state.route.is_idempotent or not key or node.claims is None:
            return CallerExchange(
                node, downstream, head, request_id, deadline, state, now
            )
        return KeyedExchange(
            node,
            downstream,
            head,
            request_id,
            deadline,
            state,
            now,
            node.claims,
            key,
        )

    def _open_refused(
        self,
        head: RequestHead,
        downstream: ListenerConnection,
        request_id: bytes,
        state: RouteState | None,
    ) -> Exchange:
        if self._node.is_draining:
            kind, detail = RefusalKind.DRAINING, "this node is stopping"
        elif self._node.snapshot is None:
            kind, detail = RefusalKind.NO_RELEASE, "no release is in force"
        elif state is None:
            kind, detail = RefusalKind.NO_ROUTE, "no route matches"
        else:
            kind, detail = RefusalKind.BAD_REQUEST, "the call is too deep"
        return RefusedExchange(
            self._node, downstream, head, request_id, kind, detail
        )
