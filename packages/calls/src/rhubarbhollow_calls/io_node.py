"""The call path of a node: its ports, pools and routing state."""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.body_budget import BodyBudget
from rhubarbhollow_calls.deadline import format_deadline
from rhubarbhollow_calls.io_caller import CallerPort
from rhubarbhollow_calls.io_counters import NodeCounters
from rhubarbhollow_calls.io_deadline_sweep import DeadlineSweep
from rhubarbhollow_calls.io_listener import ListenerConnection
from rhubarbhollow_calls.io_local_port import LocalPort
from rhubarbhollow_calls.io_observer import SilentObserver
from rhubarbhollow_calls.io_peer import PeerPort
from rhubarbhollow_calls.io_pool import ConnectionPool
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.io_route_state import RouteState
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.refusal_status import status_for_foreign
from rhubarbhollow_calls.retry_budgets import RetryBudgets
from rhubarbhollow_calls.return_delay import return_delay
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_calls.stop_admission import (
    bound_by_stop,
    can_end_before_stop,
)
from rhubarbhollow_tenants.directory import NO_TENANTS

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rhubarbhollow_calls.call_priority import CallPriority
    from rhubarbhollow_calls.call_route import CallRoute
    from rhubarbhollow_calls.deadline import Deadline
    from rhubarbhollow_calls.io_claim_port import ClaimPort
    from rhubarbhollow_calls.io_exchange import Exchange
    from rhubarbhollow_calls.io_local_port import QuarantinePublisher
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_observer import CallObserver
    from rhubarbhollow_calls.io_position import PositionObserver
    from rhubarbhollow_calls.io_quota import QuotaPort
    from rhubarbhollow_calls.io_snapshot import Snapshot
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_calls.refusal import Refusal
    from rhubarbhollow_calls.upstream_selector import UpstreamSelector
    from rhubarbhollow_tenants.directory import TenantDirectory
    from rhubarbhollow_tenants.tenant import Tenant
    from rhubarbhollow_wire.clock import Clock


MS_PER_SECOND: Final = 1000


class CallNode:
    """Connect the ports, connection pools and routing of a node.

    All methods run on the event loop's thread.  The owner calls
    ``tick`` once a second.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        selector: UpstreamSelector,
        clock: Clock,
        observe_position: PositionObserver,
        settings: CallSettings | None = None,
        quarantine: Quarantine | None = None,
        publish: QuarantinePublisher | None = None,
        claims: ClaimPort | None = None,
        observer: CallObserver | None = None,
        random: Random | None = None,
        is_release_confirmed: Callable[[], bool] | None = None,
        quota: QuotaPort | None = None,
        is_release_current: Callable[[], bool] | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.selector = selector
        self.clock = clock
        self.counters = NodeCounters()
        self.body_budget = BodyBudget()
        self.local_port: LocalPort | None = None
        self.position_field_line = b""
        self.is_draining = False
        self.is_release_confirmed = is_release_confirmed or _assume_confirmed
        self.is_release_current = (
            is_release_current or self.is_release_confirmed
        )
        self._is_leaving = False
        self._stops_at = math.inf
        self._random = random or Random()  # noqa: S311 - jitter
        self._observe_position = observe_position
        self._settings = settings or CallSettings()
        self._quarantine = quarantine
        self._publish = publish or _drop_message
        self.claims = claims
        self.quota = quota
        self.observer = observer or SilentObserver()
        self._request_id_prefix = name.encode()
        self.dialect = self._settings.dialect
        self.origin = self._settings.origin
        self._background: set[asyncio.Task[None]] = set()
        self._snapshot: Snapshot | None = None
        self._has_snapshot = asyncio.Event()
        self._position = 0
        self._states: dict[str, RouteState] = {}
        self._budgets = RetryBudgets(clock)
        self._peer_pools: dict[tuple[str, int], ConnectionPool] = {}
        self._connections: set[ListenerConnection] = set()
        self.sweep = DeadlineSweep(clock)
        self._last_call_id = 0
        self._caller_port = CallerPort(self)
        self._peer_port = PeerPort(self)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the release in force here, or ``None``."""
        return self._snapshot

    @property
    def tenants(self) -> TenantDirectory:
        """Return the tenants of the release in force here."""
        return NO_TENANTS if self._snapshot is None else self._snapshot.tenants

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight and background tasks."""
        return len(self.sweep) + len(self._background)

    @property
    def has_unfinished_work(self) -> bool:
        """Return whether a call is in flight or a response unsent."""
        return bool(self.in_flight) or any(
            connection.has_unsent_data for connection in self._connections
        )

    @property
    def route_states(self) -> tuple[RouteState, ...]:
        """Return the states of the routes in force that were used."""
        return tuple(self._states.values())

    # Called by the owner.

    def install(self, snapshot: Snapshot) -> None:
        """Route new calls by ``snapshot``.

        Calls in flight keep the snapshot on which they began.
        """
        known = self._states
        self._snapshot = snapshot
        self._has_snapshot.set()
        self._position = snapshot.position
        # Most routes are idle here; their states are made at the first
        # call, so that a change costs no more than the routes in use.
        self._states = {
            name: self._make_state(route, state)
            for name, state in known.items()
            if (route := snapshot.route_table.named(name)) is not None
        }
        self._budgets.retain(snapshot.route_table.routes)
        self.position_field_line = b"%b: %d\r\n" % (
            names.POSITION,
            snapshot.position,
        )

    async def wait_for_snapshot(self) -> None:
        """Wait until the first release is in force here."""
        await self._has_snapshot.wait()

    def set_local_upstream(self, upstream: LocalUpstream | None) -> None:
        """Replace or remove the local upstream.

        Calls in flight end on their existing connections.
        """
        port = self.local_port
        if port and upstream and port.is_same_process(upstream):
            port.resize(upstream)
            if upstream.is_leaving:
                port.drain_and_refuse_queued()
            return
        if port is not None:
            port.close()
        self.local_port = None
        if upstream is not None:
            self.local_port = LocalPort(
                upstream,
                self._settings,
                self.clock,
                self._quarantine,
                self._publish,
            )
            if upstream.is_leaving:
                self.local_port.drain_and_refuse_queued()

    def caller_protocol_factory(self) -> ListenerConnection:
        """Return a protocol for a connection to the caller port."""
        return ListenerConnection(self._caller_port)

    def peer_protocol_factory(self) -> ListenerConnection:
        """Return a protocol for a connection to the peer port."""
        return ListenerConnection(self._peer_port)

    def begin_leaving(self, stops_at: float) -> None:
        """Ask callers to reconnect elsewhere; still serve new calls.

        Calls that are not expected to end before ``stops_at``, in
        monotonic seconds, are refused as not run.
        """
        self._is_leaving = True
        self._stops_at = stops_at
        for connection in self._connections:
            connection.begin_drain()

    def begin_drain(self) -> None:
        """Refuse new calls as not run, and let those in flight end."""
        self.is_draining = True
        if self.local_port is not None:
            self.local_port.begin_drain()
        for connection in self._connections:
            connection.begin_drain()

    def end_calls(self) -> None:
        """Answer the calls in flight, since the process stops.

        Whether they have run is unknown, unless they were not sent.
        """
        self.sweep.stop_all()

    def close(self) -> None:
        """Close all connections and cancel the calls in flight."""
        for connection in list(self._connections):
            connection.close()
        for pool in self._peer_pools.values():
            pool.close()
        if self.local_port is not None:
            self.local_port.close()

    def tick(self) -> None:
        """Close connections that have been idle for too long."""
        settings = self._settings
        for connection in list(self._connections):
            connection.tick(settings)
        if self.local_port is not None:
            self.local_port.pool.tick()
        for address, pool in list(self._peer_pools.items()):
            pool.tick()
            if pool.is_unused:
                del self._peer_pools[address]

    # Called by the ports and the exchanges.

    def can_end(
        self, deadline: Deadline, objective_seconds: float | None
    ) -> bool:
        """Return whether a call started now can end before the stop."""
        now = self.clock.monotonic()
        return can_end_before_stop(
            self._stops_at - now,
            deadline.expires_at - now,
            objective_seconds,
        )

    def format_time_left(self, deadline: Deadline) -> bytes:
        """Encode the next hop's budget in milliseconds, as of now."""
        deadline = bound_by_stop(deadline, self._stops_at)
        return format_deadline(deadline, self.clock.monotonic())

    def status_of(self, refusal: Refusal) -> int:
        """Return the HTTP status of a refusal in the node's dialect."""
        if self.dialect.is_foreign:
            return status_for_foreign(refusal)
        return refusal.status

    def retry_after(
        self,
        refusal: Refusal,
        left_seconds: float,
        objective_seconds: float | None,
    ) -> float | None:
        """Return the Retry-After seconds, or ``None`` to send none.

        See ``return_delay`` for the arguments.
        """
        if not self.dialect.is_foreign:
            return None
        if self.status_of(refusal) != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        return return_delay(
            refusal.kind, left_seconds, objective_seconds, self._random
        )

    def round_retry_after(self, seconds: float) -> float:
        """Return the seconds as the node's dialect allows them.

        Native callers follow HTTP, which has whole seconds.
        """
        return seconds if self.dialect.is_foreign else math.ceil(seconds)

    def route(self, host: bytes, target: bytes) -> RouteState | None:
        """Return the state of the matching route, or ``None``."""
        if self._snapshot is None:
            return None
        route = self._snapshot.route_table.match(host, target)
        return None if route is None else self._state_of(route)

    def find_route_state(self, name: str) -> RouteState | None:
        """Return the state of the route ``name``, or ``None``."""
        if self._snapshot is None:
            return None
        route = self._snapshot.route_table.named(name)
        return None if route is None else self._state_of(route)

    def _state_of(self, route: CallRoute) -> RouteState:
        state = self._states.get(route.name)
        if state is None:
            state = self._states[route.name] = self._make_state(route, None)
        return state

    def _make_state(
        self, route: CallRoute, previous: RouteState | None
    ) -> RouteState:
        budget = self._budgets.of(route)
        return RouteState(
            route, self._position, budget, previous, self._random
        )

    def has_reached(self, position: int | None) -> bool:
        """Return whether this node has reached ``position``.

        Activates the release at that position first if it is staged.
        """
        if position is None or position <= self._position:
            return True
        return self._observe_position(position) is not PositionCheck.BEHIND

    def observe_peer_position(self, position: int | None) -> None:
        """Activate a staged release that another node has in force."""
        if position is not None and position > self._position:
            self._observe_position(position)

    def observe_position_hint(self, position: int | None) -> None:
        """Activate a staged release whose position a caller sent."""
        if position is not None and position > self._position:
            self._observe_position(position, is_hint=True)

    def peer_pool(self, host: str, port: int) -> ConnectionPool:
        """Return the connection pool for another node's peer port."""
        pool = self._peer_pools.get((host, port))
        if pool is None:
            settings = self._settings
            pool = self._peer_pools[host, port] = ConnectionPool(
                host,
                port,
                settings.peer_connections,
                settings.peer_idle_seconds,
                settings,
                self.clock,
            )
        return pool

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request has crashes not cleared."""
        quarantine = self._quarantine
        return quarantine is not None and quarantine.is_suspected(fingerprint)

    def make_ticket(
        self,
        priority: CallPriority,
        deadline: Deadline,
        state: RouteState | None,
        objective_left_ms: int | None,
        tenant: Tenant | None = None,
        *,
        is_nested: bool = False,
    ) -> Ticket:
        """Return a call's ticket for a slot of the local upstream.

        ``objective_left_ms`` is the rest of the route's latency
        objective; without one the call may wait until its deadline.
        ``is_nested`` means that an upstream made the call.
        """
        call_id = self.next_call_id()
        deadline = bound_by_stop(deadline, self._stops_at)
        tenant_priority = 0 if tenant is None else tenant.priority
        route = None if state is None else state.route
        if route is None or objective_left_ms is None:
            return Ticket(
                priority,
                deadline.expires_at,
                call_id,
                tenant_priority=tenant_priority,
            )
        objective = route.latency_seconds or 0.0
        left = objective_left_ms / MS_PER_SECOND
        return Ticket(
            priority,
            deadline.expires_at,
            call_id,
            rank=route.rank,
            objective_ms=round(objective * MS_PER_SECOND),
            start_by=self.clock.monotonic() + left,
            tenant_priority=tenant_priority,
            is_nested=is_nested,
        )

    def next_call_id(self) -> int:
        """Return a call number that is unique in this process."""
        self._last_call_id += 1
        return self._last_call_id

    def next_request_id(self) -> bytes:
        """Return an id for a request that arrived without one."""
        return b"%b-%x" % (self._request_id_prefix, self.next_call_id())

    def call_began(self, call: Exchange) -> None:
        """Start to enforce a call's deadline."""
        self.sweep.add(call)

    def call_ended(self, call: Exchange) -> None:
        """Stop enforcing a call's deadline."""
        self.sweep.discard(call)

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run a background task that claims or settles a key."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Register a connection; above the limit it serves one call."""
        self._connections.add(connection)
        is_kept = len(self._connections) <= self._settings.kept_connections
        if self.is_draining or self._is_leaving or not is_kept:
            connection.begin_drain()

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)


def _drop_message(message: QuarantineMessage) -> None:
    """Discard a quarantine message."""


def _assume_confirmed() -> bool:
    return True
