"""The call path of one node."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
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
from rhubarbhollow_calls.slot_ticket import Ticket

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from rhubarbhollow_calls.call_priority import CallPriority
    from rhubarbhollow_calls.deadline import Deadline
    from rhubarbhollow_calls.io_claim_port import ClaimPort
    from rhubarbhollow_calls.io_exchange import Exchange
    from rhubarbhollow_calls.io_local_port import QuarantinePublisher
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_observer import CallObserver
    from rhubarbhollow_calls.io_position import PositionObserver
    from rhubarbhollow_calls.io_snapshot import Snapshot
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_calls.refusal import Refusal
    from rhubarbhollow_calls.upstream_book import UpstreamBook
    from rhubarbhollow_wire.clock import Clock


MS_PER_SECOND: Final = 1000
# share of the mean by which the time until a return varies
RETRY_AFTER_SPREAD: Final = 0.5


class CallNode:
    """Join the two ports, the pools and the decisions of one node.

    All methods run on the event loop's thread.  ``tick`` is called once
    a second by the owner.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        book: UpstreamBook,
        clock: Clock,
        observe_position: PositionObserver,
        settings: CallSettings | None = None,
        quarantine: Quarantine | None = None,
        publish: QuarantinePublisher | None = None,
        claims: ClaimPort | None = None,
        observer: CallObserver | None = None,
        random: Random | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.book = book
        self.clock = clock
        self.counters = NodeCounters()
        self.local_port: LocalPort | None = None
        self.position_line = b""
        self.is_draining = False
        self._is_leaving = False
        self._random = random or Random()  # noqa: S311 - spreads returns
        self._observe_position = observe_position
        self._settings = settings or CallSettings()
        self._quarantine = quarantine
        self._publish = publish or _drop_message
        self.claims = claims
        self.observer = observer or SilentObserver()
        self._request_id_prefix = name.encode()
        self.dialect = self._settings.dialect
        self.origin = self._settings.origin
        self._background: set[asyncio.Task[None]] = set()
        self._snapshot: Snapshot | None = None
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
        """Return the release in force here, if there is one yet."""
        return self._snapshot

    @property
    def in_flight(self) -> int:
        """Return the calls that are in flight or to be settled."""
        return len(self.sweep) + len(self._background)

    @property
    def route_states(self) -> tuple[RouteState, ...]:
        """Return the routes in force with their counters."""
        return tuple(self._states.values())

    # For the owner.

    def install(self, snapshot: Snapshot) -> None:
        """Route new calls on ``snapshot``; others end on their own."""
        known = self._states
        self._states = {
            route.name: RouteState(
                route,
                snapshot.position,
                self._budgets.of(route),
                known.get(route.name),
            )
            for route in snapshot.route_table.routes
        }
        self._budgets.retain(snapshot.route_table.routes)
        self._snapshot = snapshot
        self._position = snapshot.position
        self.position_line = b"%b: %d\r\n" % (
            names.POSITION,
            snapshot.position,
        )

    def set_local_upstream(self, upstream: LocalUpstream | None) -> None:
        """Take another upstream beside this node, or none.

        Calls in flight end on the connections that they have.
        """
        port = self.local_port
        if port and upstream and port.is_same_process(upstream):
            port.resize(upstream)
            if upstream.is_leaving:
                port.begin_leave()
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
                self.local_port.begin_leave()

    def caller_protocol_factory(self) -> ListenerConnection:
        """Return a protocol for a connection to the caller port."""
        return ListenerConnection(self._caller_port)

    def peer_protocol_factory(self) -> ListenerConnection:
        """Return a protocol for a connection to the peer port."""
        return ListenerConnection(self._peer_port)

    def begin_leaving(self) -> None:
        """Ask callers to go elsewhere; new calls are still served."""
        self._is_leaving = True
        for connection in self._connections:
            connection.begin_drain()

    def begin_drain(self) -> None:
        """Refuse new calls as not run; those in flight end."""
        self.is_draining = True
        if self.local_port is not None:
            self.local_port.begin_drain()
        for connection in self._connections:
            connection.begin_drain()

    def close(self) -> None:
        """Close every connection and cancel what is in flight."""
        for connection in list(self._connections):
            connection.close()
        for pool in self._peer_pools.values():
            pool.close()
        if self.local_port is not None:
            self.local_port.close()

    def tick(self) -> None:
        """Close connections that have been idle too long."""
        settings = self._settings
        for connection in list(self._connections):
            connection.tick(settings)
        if self.local_port is not None:
            self.local_port.pool.tick()
        for address, pool in list(self._peer_pools.items()):
            pool.tick()
            if pool.is_unused:
                del self._peer_pools[address]

    # For the ports and the exchanges.

    def status_of(self, refusal: Refusal) -> int:
        """Return the HTTP status that callers here understand."""
        if self.dialect.is_foreign:
            return status_for_foreign(refusal)
        return refusal.status

    def retry_after(self, refusal: Refusal) -> float | None:
        """Return the seconds to wait before a repeat, if any."""
        if not self.dialect.is_foreign:
            return None
        if self.status_of(refusal) != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        # jitter keeps callers that were refused together apart
        spread = RETRY_AFTER_SPREAD * (2 * self._random.random() - 1)
        return self._settings.retry_after_seconds * (1 + spread)

    def route(self, host: bytes, target: bytes) -> RouteState | None:
        """Return the route for a call that begins now."""
        if self._snapshot is None:
            return None
        route = self._snapshot.route_table.match(host, target)
        return None if route is None else self._states[route.name]

    def state_of_route(self, name: str) -> RouteState | None:
        """Return the route called ``name``."""
        return self._states.get(name)

    def is_at(self, position: int | None) -> bool:
        """Return whether this node is, or can be, at ``position``."""
        if position is None or position <= self._position:
            return True
        return self._observe_position(position) is not PositionCheck.BEHIND

    def hear_position(self, position: int | None) -> None:
        """Activate a staged release that somebody already routes on."""
        if position is not None and position > self._position:
            self._observe_position(position)

    def hear_hint(self, position: int | None) -> None:
        """Activate a staged release that a caller has seen."""
        if position is not None and position > self._position:
            self._observe_position(position, is_hint=True)

    def peer_pool(self, host: str, port: int) -> ConnectionPool:
        """Return the connections to another node's peer port."""
        pool = self._peer_pools.get((host, port))
        if pool is None:
            settings = self._settings
            pool = self._peer_pools[host, port] = ConnectionPool(
                host,
                port,
                settings.peer_connections,
                settings.peer_idle_seconds,
                settings,
            )
        return pool

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether an upstream crashed under this request."""
        quarantine = self._quarantine
        return quarantine is not None and quarantine.is_suspected(fingerprint)

    def make_ticket(
        self,
        priority: CallPriority,
        deadline: Deadline,
        state: RouteState | None,
        objective_left_ms: int | None,
    ) -> Ticket:
        """Return a call's request for a slot of the upstream here.

        ``objective_left_ms`` is what is left of the route's objective;
        without one the call may wait as long as its deadline.
        """
        call_id = self.next_call_id()
        route = None if state is None else state.route
        if route is None or objective_left_ms is None:
            return Ticket(priority, deadline.expires_at, call_id)
        objective = route.latency_seconds or 0.0
        left = objective_left_ms / MS_PER_SECOND
        return Ticket(
            priority,
            deadline.expires_at,
            call_id,
            rank=route.rank,
            objective_ms=round(objective * MS_PER_SECOND),
            start_by=self.clock.monotonic() + left,
        )

    def next_call_id(self) -> int:
        """Return a number that no other call of this node has."""
        self._last_call_id += 1
        return self._last_call_id

    def next_request_id(self) -> bytes:
        """Return a name for a request that came without one."""
        return b"%b-%x" % (self._request_id_prefix, self.next_call_id())

    def call_began(self, call: Exchange) -> None:
        """Watch a call's deadline."""
        self.sweep.add(call)

    def call_ended(self, call: Exchange) -> None:
        """Watch a call no more."""
        self.sweep.discard(call)

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run what a call with a key has to wait for."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Note a connection; above the limit it serves one call."""
        self._connections.add(connection)
        is_kept = len(self._connections) <= self._settings.kept_connections
        if self.is_draining or self._is_leaving or not is_kept:
            connection.begin_drain()

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Forget a listener's connection."""
        self._connections.discard(connection)


def _drop_message(message: QuarantineMessage) -> None:
    """Tell nobody."""
