"""The event loop of a control instance."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Final

import anyio
import anyio.to_thread
import structlog
from result import Err

from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_daemon.control_event import (
    ControlEvent,
    LogAdvanced,
    NodeJoined,
    NodeLeft,
    NodeSaid,
    PeerSaid,
)
from rhubarbhollow_daemon.node_link import NodeLink
from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    ClaimRequest,
    EndpointsRequest,
)
from rhubarbhollow_daemon.summary_schedule import (
    OTHERS_MIN_INTERVAL_SECONDS,
    OTHERS_REPEAT_INTERVAL_SECONDS,
    SummarySchedule,
)
from rhubarbhollow_distribution.departure_messages import DepartureRequest
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.feed import NodeFeed
from rhubarbhollow_distribution.ledger_view import LedgerView
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_placement.upstream_load import LoadReport
from rhubarbhollow_quota.messages import QuotaReport
from rhubarbhollow_rollout.messages import RolloutSummary

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.burn_collection import BurnCollection
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.departure_service import DepartureService
    from rhubarbhollow_daemon.load_relay import LoadRelay
    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_wire.connection import FrameConnection

INBOX_EVENTS: Final = 8_192
TICK_SECONDS: Final = 0.1
FLOOR_RETRY_SECONDS: Final = 1.0
# Another instance that was not connected for this long is not listed
# for nodes. One that restarts is back within about a second.
ABSENT_SECONDS: Final = 3.0

_log = structlog.get_logger()


class ControlInstance:
    """Handle events of nodes, peers and the log, one at a time.

    Each connection has tasks of its own, which send events to this
    one's inbox; this task answers through the connection's outbox.
    """

    def __init__(
        self,
        parts: ControlParts,
        burn: BurnCollection,
        loads: LoadRelay,
        departures: DepartureService,
    ) -> None:
        self._parts = parts
        self._burn = burn
        self._loads = loads
        self._departures = departures
        self._sender, self._receiver = anyio.create_memory_object_stream[
            ControlEvent
        ](INBOX_EVENTS)
        self._last_tick_at = 0.0
        self._schedule = SummarySchedule(parts.clock)
        self._others_schedule = SummarySchedule(
            parts.clock,
            OTHERS_REPEAT_INTERVAL_SECONDS,
            OTHERS_MIN_INTERVAL_SECONDS,
        )
        self._summary_leader: str | None = None
        self._store_version = 0
        self._was_fresh = False
        self._positions = (0, 0)
        self._rollout_revision = 0
        self._floor_retry_at = 0.0
        # When another instance was last connected, or first known.
        self._up_at: dict[str, float] = {}
        parts.replica.on_applied(lambda _: self.post(LogAdvanced()))
        parts.directory.watch(self._on_directory_changed)

    def post(self, event: ControlEvent) -> None:
        """Queue an event without waiting; drop it if the inbox is full.

        Peers repeat what is dropped.
        """
        try:
            self._sender.send_nowait(event)
        except anyio.WouldBlock:
            _log.warning("control_inbox_full", event_type=type(event).__name__)
        except anyio.BrokenResourceError:
            # The process is stopping and the event loop has ended.
            pass

    async def serve_node(
        self,
        connection: FrameConnection,
        hello: Hello,
    ) -> None:
        """Serve a node's connection until it ends."""
        parts = self._parts
        feed = NodeFeed(
            hello,
            data_centre=parts.data_centre,
            settings=parts.feed_settings,
            releases=parts.stages,
            endpoints=parts.store,
            clock=parts.clock,
            local_source=lambda: parts.links.local_source(hello.data_centre),
        )
        link = NodeLink(hello, feed)
        with suppress(anyio.BrokenResourceError):
            await self._sender.send(NodeJoined(link))
            try:
                await self._run_link(connection, link)
            finally:
                with anyio.CancelScope(shield=True):
                    await self._sender.send(NodeLeft(link))

    def serve_peer(self, control: str, message: object) -> None:
        """Queue a message from another control instance."""
        self.post(PeerSaid(control, message))

    async def run(self) -> None:
        """Handle events until cancelled.

        The inbox is closed then, which releases the connection tasks
        that still wait to report their end.
        """
        with self._receiver:
            await self._run_event_loop()

    async def _run_event_loop(self) -> None:
        parts = self._parts
        parts.activation_coordinator.record_log()
        async with anyio.create_task_group() as group:
            while True:
                event = await self._next_event()
                view = await self._build_ledger_view()
                if event is not None:
                    self._handle_event(event, view)
                if self._tick(view):
                    for command in parts.rollouts.tick():
                        group.start_soon(parts.rollouts.propose, command)
                parts.exchange.flush()
                self._feed_nodes(view)
                self._send_summary()
                position = parts.activation_coordinator.maybe_plan()
                if position is not None:
                    group.start_soon(
                        parts.activation_coordinator.activate, position
                    )

    async def _next_event(self) -> ControlEvent | None:
        now = self._parts.clock.monotonic()
        due = min(
            self._last_tick_at + TICK_SECONDS,
            self._parts.node_connections.next_due,
            self._schedule.due,
            self._others_schedule.due,
            self._parts.exchange.next_due,
        )
        with anyio.move_on_after(max(0.0, due - now)):
            return await self._receiver.receive()
        return None

    def _on_directory_changed(self) -> None:
        """Forward a directory change to the planner and the nodes."""
        directory = self._parts.directory
        self._parts.activation_coordinator.set_controls(directory.names)
        self._parts.node_connections.broadcast(directory.node_message)

    def _handle_event(self, event: ControlEvent, view: LedgerView) -> None:
        node_connections = self._parts.node_connections
        match event:
            case NodeJoined(link):
                node_connections.join(link, view)
            case NodeSaid(link, message):
                node_connections.handle_message(link, message, view)
            case NodeLeft(link):
                node_connections.leave(link)
            case PeerSaid(control, message):
                self._handle_peer_message(control, message)
            case LogAdvanced():
                # It only wakes this task, so a full inbox may drop it.
                pass

    def _handle_peer_message(self, control: str, message: object) -> None:
        parts = self._parts
        match message:
            case RegisterSummary():
                parts.activation_coordinator.record_summary(message)
            case EndpointChange():
                parts.exchange.receive(control, message)
            case CrashReport() | Exoneration():
                parts.node_connections.forward_crash_evidence(
                    message, is_from_peer=True
                )
            case RolloutSummary():
                parts.rollouts.record_summary(message)
            case EndpointsRequest():
                parts.exchange.answer(control)
            case _:
                _log.warning(
                    "peer_message_unexpected",
                    peer=control,
                    message=type(message).__name__,
                )

    def _tick(self, view: LedgerView) -> bool:
        """Do what is due at intervals; return whether it was due."""
        now = self._parts.clock.monotonic()
        if now < self._last_tick_at + TICK_SECONDS:
            return False
        self._last_tick_at = now
        self._note_absent_controls(now)
        self._parts.node_connections.tick(view)
        self._parts.exchange.tick()
        return True

    def _note_absent_controls(self, now: float) -> None:
        """Tell nodes when another instance is gone or comes back."""
        links = self._parts.links.by_name
        for name in links:
            if links[name].is_up or name not in self._up_at:
                self._up_at[name] = now
        directory = self._parts.directory
        absent = (
            name for name in links if now >= self._up_at[name] + ABSENT_SECONDS
        )
        if directory.set_absent(absent):
            message = directory.node_message
            self._parts.node_connections.broadcast(message)

    def _feed_nodes(self, view: LedgerView) -> None:
        """Feed every node after a shared change, else the due ones.

        Shared are the log's positions, its freshness and the endpoint
        store.
        """
        parts = self._parts
        positions = (view.latest_position, view.active_position)
        is_log_changed = positions != self._positions
        self._positions = positions
        if is_log_changed:
            parts.activation_coordinator.record_log()
        has_changes = (
            is_log_changed
            or parts.store.version != self._store_version
            or view.is_fresh != self._was_fresh
        )
        self._store_version = parts.store.version
        self._was_fresh = view.is_fresh
        revision = parts.machine.rollouts.revision
        has_changes |= revision != self._rollout_revision
        self._rollout_revision = revision
        if has_changes:
            parts.node_connections.feed_all(view)
        else:
            parts.node_connections.feed_due(view)

    def _send_summary(self) -> None:
        """Send a summary to the leader soon, and to others at times."""
        parts = self._parts
        summary = parts.register.summary()
        leader = parts.replica.status.leader
        if leader != self._summary_leader:
            self._summary_leader = leader
            self._schedule.restart()
            if leader == parts.name:
                parts.activation_coordinator.note_leadership()
        if self._schedule.should_send(summary):
            parts.activation_coordinator.record_summary(summary)
            if leader is not None:
                parts.links.send(leader, summary)
        if self._others_schedule.should_send(summary):
            for name in parts.links.by_name:
                if name != leader:
                    parts.links.send(name, summary)

    async def _build_ledger_view(self) -> LedgerView:
        """Return a view of the ledger, after syncing a higher floor."""
        parts = self._parts
        ledger = parts.machine.ledger
        status = parts.replica.status
        parts.floor.require(max(ledger.latest_position, parts.register.floor))
        pending = parts.floor.pending
        now = parts.clock.monotonic()
        if pending is not None and now >= self._floor_retry_at:
            await self._sync_floor(pending)
        return LedgerView(
            latest_position=ledger.latest_position,
            active_position=ledger.active_position,
            is_fresh=status.is_fresh,
            confirmed_at=status.confirmed_at,
            recorded_floor=parts.floor.recorded,
        )

    async def _sync_floor(self, position: int) -> None:
        """Sync a higher floor to disk.

        Until that succeeds, no node is offered a release above the
        recorded floor.
        """
        parts = self._parts
        try:
            await anyio.to_thread.run_sync(parts.floor_file.raise_to, position)
        except OSError as error:
            now = parts.clock.monotonic()
            self._floor_retry_at = now + FLOOR_RETRY_SECONDS
            _log.error(
                "floor_not_synced",
                position=position,
                cause=type(error).__name__,
            )
            return
        parts.floor.confirm(position)

    async def _run_link(
        self,
        connection: FrameConnection,
        link: NodeLink,
    ) -> None:
        async with anyio.create_task_group() as group:

            async def receive() -> None:
                await self._receive_from_node(connection, link, group)
                group.cancel_scope.cancel()

            async def end() -> None:
                await link.wait_ended()
                group.cancel_scope.cancel()

            group.start_soon(receive)
            group.start_soon(end)
            await link.outbox.pump(connection)
            group.cancel_scope.cancel()

    async def _receive_from_node(
        self,
        connection: FrameConnection,
        link: NodeLink,
        group: TaskGroup,
    ) -> None:
        claims = self._parts.claims
        while True:
            received = await connection.receive()
            if isinstance(received, Err):
                _log.info(
                    "node_closed",
                    node=link.hello.node,
                    cause=repr(received.err_value),
                )
                return
            message = received.ok_value
            if isinstance(message, ClaimRequest):
                if claims is None:
                    _log.warning("claims_not_kept", node=link.hello.node)
                    continue
                # Claims wait for a quorum and use no state of the event
                # loop.
                group.start_soon(
                    claims.service.serve_node,
                    message,
                    link.outbox.put,
                )
                continue
            if isinstance(message, DepartureRequest):
                group.start_soon(
                    self._departures.serve_node,
                    link.hello.node,
                    message,
                    link.outbox.put,
                )
                continue
            if isinstance(message, LoadReport):
                # Frequent, and no decision of the event loop uses it.
                self._loads.receive(link.hello, message)
                continue
            if isinstance(message, QuotaReport):
                # A request may be waiting for the answer.
                self._parts.quota.handle_node_report(link, message)
                continue
            if isinstance(message, BurnAnswer):
                self._burn.deliver_from_node(message)
                continue
            await self._sender.send(NodeSaid(link, message))
