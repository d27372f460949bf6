"""The peer port, which accepts calls routed here by other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.io_exchange import Exchange
from rhubarbhollow_calls.io_local_attempt import LocalAttempt
from rhubarbhollow_calls.io_refusal_response import (
    encode_refusal,
    refusal_for_fault,
)
from rhubarbhollow_calls.not_run_proof import UnwrittenStage
from rhubarbhollow_calls.refusal import RefusalKind
from rhubarbhollow_calls.slot_report import SlotReport, encode_report
from rhubarbhollow_tenants.identity import Identity

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_listener import ListenerConnection
    from rhubarbhollow_calls.io_local_port import LocalPort
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState

_PRIORITIES: Final = {
    priority.name.lower().encode(): priority for priority in CallPriority
}


class PeerExchange(Exchange):
    """Admit a call that another node routed, without retries."""

    __slots__ = ()

    def __init__(
        self,
        node: CallNode,
        downstream: Downstream,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
    ) -> None:
        mesh = head.mesh
        identity = None
        if mesh.tenant:
            identity = Identity(mesh.tenant, mesh.fingerprint)
        super().__init__(
            node, downstream, head, request_id, deadline, identity
        )

    def start(self) -> None:
        """Admit the call, if it is meant for the local upstream."""
        mesh = self._head.mesh
        if not self._node.has_reached(mesh.position):
            self._refuse_admission(
                RefusalKind.STALE_POSITION,
                "the release of the calling node is not in force here",
            )
            return
        port = self._node.local_port
        if port is None or not self._is_for(port):
            self._refuse_admission(
                RefusalKind.NO_UPSTREAM,
                "the requested upstream does not run at this node",
            )
            return
        state = self._node.find_route_state(mesh.route.decode("latin-1"))
        tenants = self._node.tenants
        if tenants.requires_keys and not self._is_authenticated(state):
            self._refuse_admission(
                RefusalKind.KEY_WITHDRAWN,
                "the release in force here does not hold the key",
            )
            return
        if self._identity is not None or tenants.requires_keys:
            self._head = self._head.without_guarded()
        objective = None if state is None else state.route.latency_seconds
        if not self._node.can_end(self._deadline, objective):
            self._refuse_admission(
                RefusalKind.DRAINING,
                "this node stops before the call can end",
            )
            return
        priority = _PRIORITIES.get(mesh.priority, CallPriority.BULK)
        if not mesh.priority and state is not None:
            priority = state.route.priority
        ticket = self._node.make_ticket(
            priority,
            self._deadline,
            state,
            mesh.objective_ms,
            self._tenant(),
            is_nested=port.is_nested(mesh.route, mesh.origin, mesh.depth - 1),
        )
        self._begin(
            LocalAttempt(
                self, self._head, self._body, port, ticket, mesh.route
            )
        )

    def next_hop_field_lines(self) -> bytes:
        """Return the header field lines for the local upstream."""
        return self._native_field_lines()

    def _native_field_lines(self) -> bytes:
        mesh = self._head.mesh
        left = self._node.format_time_left(self._deadline)
        return b"%b: %d\r\n%b: %b\r\n%b: %b\r\n%b: %d\r\n%b: %b\r\n" % (
            names.POSITION,
            mesh.position or 0,
            names.ROUTE,
            mesh.route,
            names.TIMEOUT_MS,
            left,
            names.DEPTH,
            mesh.depth,
            names.REQUEST_ID,
            self._request_id,
        )

    def _is_authenticated(self, state: RouteState | None) -> bool:
        """Return whether the call may run by the release in force.

        A call without a tenant may only be to a public route: the node
        that sent it may have had a release without tenants.
        """
        if self._identity is None:
            return state is not None and state.route.is_public
        return self.is_key_held()

    def _is_for(self, port: LocalPort) -> bool:
        upstream = self._head.mesh.upstream
        if self._node.dialect.is_foreign:
            return upstream == port.upstream.instance.encode()
        return upstream == port.upstream_name

    def _is_refusal_bodyless(self) -> bool:
        # The calling node reads only the header fields.
        return self._node.dialect.is_foreign

    def _origin(self) -> bytes:
        return self._head.mesh.origin

    def _response_field_lines(self, head: ResponseHead) -> bytes:  # noqa: ARG002
        return self._node.position_field_line + self._slots_field_line()

    def _refusal_field_lines(self) -> bytes:
        return self._node.position_field_line + self._slots_field_line()

    def _slots_field_line(self) -> bytes:
        port = self._node.local_port
        if port is None or self._head.mesh.objective_ms is None:
            return b""
        report = SlotReport(
            port.gate.backlog, self._slot_held_seconds, port.speed.percent
        )
        return b"%b: %b\r\n" % (names.SLOTS, encode_report(report))

    def _refuse_admission(self, kind: RefusalKind, detail: str) -> None:
        self._refuse_unwritten(kind, UnwrittenStage.ADMISSION, detail)


class PeerPort:
    """Create the exchanges for calls that arrive from other nodes."""

    def __init__(self, node: CallNode) -> None:
        self._node = node

    @property
    def is_from_node(self) -> bool:
        """Return true: all fields that nodes set are read."""
        return True

    @property
    def dialect(self) -> Dialect:
        """Return the header names that callers and upstreams use."""
        return self._node.dialect

    def may_overlap(self, head: RequestHead) -> bool:  # noqa: ARG002
        """Return false: nodes send one request at a time."""
        return False

    def open_call(
        self, head: RequestHead, downstream: Downstream
    ) -> PeerExchange:
        """Return the exchange for a call from another node."""
        node = self._node
        mesh = head.mesh
        now = node.clock.monotonic()
        exchange = PeerExchange(
            node,
            downstream,
            head,
            mesh.request_id or node.next_request_id(),
            Deadline.after_ms(mesh.timeout_ms or 0, now),
        )
        node.call_began(exchange)
        return exchange

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the complete response to an unparsable request."""
        return encode_refusal(
            refusal_for_fault(fault, is_written=False),
            self._node.next_request_id(),
            self._node.position_field_line,
            status=fault.status,
            is_last=True,
        )

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Register an accepted connection."""
        self._node.connection_opened(connection)

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Unregister a closed connection."""
        self._node.connection_closed(connection)
