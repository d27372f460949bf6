"""The caller port, which accepts calls for this node to route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.call_entry import (
    UnroutedCall,
    refuse_stopping,
    refuse_unauthenticated,
    refuse_unrouted,
)
from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.io_caller_exchange import CallerExchange
from rhubarbhollow_calls.io_quota import refusal_of
from rhubarbhollow_calls.io_refusal_response import (
    encode_refusal,
    refusal_for_fault,
)
from rhubarbhollow_calls.io_refused_exchange import RefusedExchange
from rhubarbhollow_quota.verdict import (
    ADMITTED,
    OverQuota,
    Unconfirmed,
    Wait,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_entry import EntryRefusal
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_exchange import Exchange
    from rhubarbhollow_calls.io_listener import ListenerConnection
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_quota.verdict import Verdict
    from rhubarbhollow_tenants.identity import Identity
    from rhubarbhollow_tenants.tenant import Tenant


class CallerPort:
    """Create the exchanges for calls that arrive from callers."""

    def __init__(self, node: CallNode) -> None:
        self._node = node

    @property
    def is_from_node(self) -> bool:
        """Return false: callers may not set most internal fields."""
        return False

    @property
    def dialect(self) -> Dialect:
        """Return the header names that callers and upstreams use."""
        return self._node.dialect

    def may_overlap(self, head: RequestHead) -> bool:
        """Return whether the call may be repeated or has no route."""
        state = self._node.route(head.host, head.target)
        return state is None or state.route.is_idempotent

    def open_call(self, head: RequestHead, downstream: Downstream) -> Exchange:
        """Route a call by the release in force, or refuse it."""
        node = self._node
        mesh = head.mesh
        request_id = mesh.request_id or node.next_request_id()
        node.observe_position_hint(mesh.position)
        state = node.route(head.host, head.target)
        refusal = refuse_unrouted(node, state, mesh.depth)
        if refusal is not None:
            return self._refuse(head, downstream, request_id, refusal)
        if state is None:
            raise UnroutedCall("a call without a route was not refused")
        identity, refusal = self._authenticate(head, state)
        if refusal is not None:
            return self._refuse(head, downstream, request_id, refusal)
        tenants = node.tenants
        if tenants.requires_keys:
            head = head.without_guarded()
        now = node.clock.monotonic()
        timeout_ms = state.route.timeout_ms
        if mesh.timeout_ms is not None:
            timeout_ms = min(timeout_ms, mesh.timeout_ms)
        deadline = Deadline.after_ms(timeout_ms, now)
        refusal = refuse_stopping(node, deadline, state)
        if refusal is not None:
            return self._refuse(head, downstream, request_id, refusal)
        tenant = None if identity is None else tenants.tenant_of(identity)
        verdict = self._admit(tenant)
        if isinstance(verdict, OverQuota | Unconfirmed):
            return RefusedExchange(
                node, downstream, head, request_id, *refusal_of(verdict)
            )
        exchange = self._make_exchange(
            downstream, head, request_id, deadline, state, now, identity
        )
        self._hold_back(exchange, tenant, verdict, state)
        node.call_began(exchange)
        return exchange

    def _authenticate(
        self, head: RequestHead, state: RouteState
    ) -> tuple[Identity | None, EntryRefusal | None]:
        """Return whose key a call has, or why it is refused."""
        node = self._node
        if not node.tenants.requires_keys or state.route.is_public:
            return None, None
        # An empty field is no key.
        key = head.credential
        identity = node.tenants.identify(key) if key else None
        if identity is not None:
            return identity, None
        refusal = refuse_unauthenticated(node)
        node.counters.keys_refused[refusal.kind] += 1
        return None, refusal

    def _admit(self, tenant: Tenant | None) -> Verdict:
        """Count a request against its tenant's quota, if it has one."""
        quota = self._node.quota
        if tenant is None or tenant.rate <= 0.0 or quota is None:
            return ADMITTED
        return quota.admit(tenant)

    def _hold_back(
        self,
        exchange: CallerExchange,
        tenant: Tenant | None,
        verdict: Verdict,
        state: RouteState,
    ) -> None:
        """Let a call wait that was told to."""
        quota = self._node.quota
        if isinstance(verdict, Wait) and tenant is not None and quota:
            objective = state.route.latency_seconds
            exchange.await_quota(quota.open_wait(tenant, objective))

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the complete response to an unparsable request."""
        self._node.counters.malformed += 1
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

    def _make_exchange(
        self,
        downstream: Downstream,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
        state: RouteState,
        now: float,
        identity: Identity | None,
    ) -> CallerExchange:
        node = self._node
        key = head.idempotency_key
        if state.route.is_idempotent or not key or node.claims is None:
            return CallerExchange(
                node,
                downstream,
                head,
                request_id,
                deadline,
                state,
                now,
                identity,
            )
        # Loaded late: most nodes claim nothing, and callers wait for
        # the start of the process.
        from rhubarbhollow_calls.io_keyed import (  # noqa: PLC0415
            KeyedExchange,
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
            identity,
        )

    def _refuse(
        self,
        head: RequestHead,
        downstream: Downstream,
        request_id: bytes,
        refusal: EntryRefusal,
    ) -> Exchange:
        return RefusedExchange(
            self._node,
            downstream,
            head,
            request_id,
            refusal.kind,
            refusal.detail,
        )
