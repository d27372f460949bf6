"""The task of a control instance: log, nodes and peers."""

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
from rhubarbhollow_daemon.messages import (
    BurnAnswer,
    ClaimRequest,
    EndpointsRequest,
)
from rhubarbhollow_daemon.node_link import NodeLink
from rhubarbhollow_daemon.summary_schedule import SummarySchedule
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.feed import NodeFeed
from rhubarbhollow_distribution.ledger_view import LedgerView
from rhubarbhollow_distribution.register_summary import RegisterSummary

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.burn_collection import BurnCollection
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_wire.connection import FrameConnection

INBOX_EVENTS: Final = 8_192
TICK_SECONDS: Final = 0.1
FLOOR_RETRY_SECONDS: Final = 1.0

_log = structlog.get_logger()


class ControlInstance:
    """React to nodes, peers and the log, one event at a time.

    Connections live in tasks of their own and talk to this one through
    its inbox; what it decides goes back through their outboxes.
    """

    def __init__(self, parts: ControlParts, burn: BurnCollection) -> None:
        self._parts = parts
        self._burn = burn
        self._sender, self._receiver = anyio.create_memory_object_stream[
            ControlEvent
        ](INBOX_EVENTS)
        self._ticked_at = 0.0
        self._schedule = SummarySchedule(parts.clock)
        self._store_version = 0
        self._was_fresh = False
        self._positions = (0, 0)
        self._floor_retry_at = 0.0
        parts.replica.on_applied(lambda _: self.post(LogAdvanced()))
        parts.directory.watch(self._tell_controls)

    def post(self, event: ControlEvent) -> None:
        """Queue an event; peers repeat what a full inbox drops."""
        try:
            self._sender.send_nowait(event)
        except anyio.WouldBlock:
            _log.warning("control_inbox_full", event_type=type(event).__name__)
        except anyio.BrokenResourceError:
            # the process stops, and nobody reacts any more
            pass

    async def serve_node(
        self,
        connection: FrameConnection,
        hello: Hello,
    ) -> None:
        """Serve one node's connection until it ends."""
        parts = self._parts
        feed = NodeFeed(
            hello,
            data_centre=parts.data_centre,
            settings=parts.feed_settings,
            releases=parts.stages,
            endpoints=parts.store,
            clock=parts.clock,
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
        """Queue what another control instance said."""
        self.post(PeerSaid(control, message))

    async def run(self) -> None:
        """React to events until cancelled.

        A closed inbox then frees the connections that still wait to
        tell of their end.
        """
        with self._receiver:
            await self._react_for_ever()

    async def _react_for_ever(self) -> None:
        parts = self._parts
        parts.leader_desk.note_log()
        async with anyio.create_task_group() as group:
            while True:
                event = await self._next_event()
                view = await self._view()
                if event is not None:
                    self._react(event, view)
                self._tick(view)
                parts.exchange.flush()
                self._feed(view)
                self._send_summary()
                position = parts.leader_desk.maybe_plan()
                if position is not None:
                    group.start_soon(parts.leader_desk.activate, position)

    async def _next_event(self) -> ControlEvent | None:
        now = self._parts.clock.monotonic()
        due = min(
            self._ticked_at + TICK_SECONDS,
            self._parts.desk.next_due,
            self._schedule.due,
            self._parts.exchange.next_due,
        )
        with anyio.move_on_after(max(0.0, due - now)):
            return await self._receiver.receive()
        return None

    def _tell_controls(self) -> None:
        """Tell a change of the directory to all who depend on it."""
        directory = self._parts.directory
        self._parts.leader_desk.set_controls(directory.names)
        self._parts.desk.broadcast(directory.message)

    def _react(self, event: ControlEvent, view: LedgerView) -> None:
        desk = self._parts.desk
        match event:
            case NodeJoined(link):
                desk.join(link, view)
            case NodeSaid(link, message):
                desk.hear(link, message, view)
            case NodeLeft(link):
                desk.leave(link)
            case PeerSaid(control, message):
                self._hear_peer(control, message)
            case LogAdvanced():
                # it only wakes this task: a full inbox may drop it
                pass

    def _hear_peer(self, control: str, message: object) -> None:
        parts = self._parts
        match message:
            case RegisterSummary():
                parts.leader_desk.note_summary(message)
            case EndpointChange():
                parts.exchange.receive(control, message)
            case CrashReport() | Exoneration():
                parts.desk.spread(message, is_from_peer=True)
            case EndpointsRequest():
                parts.exchange.answer(control)
            case _:
                _log.warning(
                    "peer_message_unexpected",
                    peer=control,
                    message=type(message).__name__,
                )

    def _tick(self, view: LedgerView) -> None:
        now = self._parts.clock.monotonic()
        if now < self._ticked_at + TICK_SECONDS:
            return
        self._ticked_at = now
        self._parts.desk.tick(view)
        self._parts.exchange.tick()

    def _feed(self, view: LedgerView) -> None:
        """Feed all nodes on news for all, else those that are due."""
        parts = self._parts
        positions = (view.latest_position, view.active_position)
        is_log_news = positions != self._positions
        self._positions = positions
        if is_log_news:
            parts.leader_desk.note_log()
        is_news = (
            is_log_news
            or parts.store.version != self._store_version
            or view.is_fresh != self._was_fresh
        )
        self._store_version = parts.store.version
        self._was_fresh = view.is_fresh
        if is_news:
            parts.desk.feed_all(view)
        else:
            parts.desk.feed_due(view)

    def _send_summary(self) -> None:
        parts = self._parts
        summary = parts.register.summary()
        if not self._schedule.should_send(summary):
            return
        parts.leader_desk.note_summary(summary)
        parts.links.broadcast(summary)

    async def _view(self) -> LedgerView:
        """Return what the log holds, after syncing a higher floor."""
        parts = self._parts
        ledger = parts.machine.ledger
        status = parts.replica.status
        parts.floor.require(max(ledger.latest_position, parts.register.floor))
        pending = parts.floor.pending
        now = parts.clock.monotonic()
        if pending is not None and now >= self._floor_retry_at:
            await self._raise_floor(pending)
        return LedgerView(
            latest_position=ledger.latest_position,
            active_position=ledger.active_position,
            is_fresh=status.is_fresh,
            confirmed_at=status.confirmed_at,
            recorded_floor=parts.floor.recorded,
        )

    async def _raise_floor(self, position: int) -> None:
        """Sync a higher floor; until it is, no node is offered more."""
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
                await self._receive(connection, link, group)
                group.cancel_scope.cancel()

            async def end() -> None:
                await link.wait_ended()
                group.cancel_scope.cancel()

            group.start_soon(receive)
            group.start_soon(end)
            await link.outbox.pump(connection)
            group.cancel_scope.cancel()

    async def _receive(
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
                # claims wait for a quorum and own no state here
                group.start_soon(
                    claims.desk.serve_node,
                    message,
                    link.outbox.put,
                )
                continue
            if isinstance(message, BurnAnswer):
                self._burn.take_from_node(message)
                continue
            await self._sender.send(NodeSaid(link, message))
