"""The connection of a node to its control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok

from rhubarbhollow_daemon.source_connection import greet_source
from rhubarbhollow_daemon.staggered_connect import connect_first
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat

if TYPE_CHECKING:
    from rhubarbhollow_daemon.node_state import NodeState
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_distribution.source_attempt import Attempt
    from rhubarbhollow_distribution.source_choice import SourceChooser
    from rhubarbhollow_wire.connection import FrameConnection
    from rhubarbhollow_wire.traffic import Traffic

# The interval at which a connected node looks for a better source.
TICK_SECONDS: Final = 0.1
# While a rollout runs. A fraction of the 2 s for which a node relies on
# an answer, and of the 5 s in which a bad version has to be noticed.
ROLLOUT_REPORT_SECONDS: Final = 0.5

_log = structlog.get_logger()


class NodeSession:
    """Keep a node connected to the best available control instance.

    A connected node looks for another one only if its own is silent,
    not fresh, behind or in another data centre, and leaves it only once
    the other one has welcomed it; a silent one is also left without a
    replacement. A node that can reach none continues with the release
    and the endpoints that it has.
    """

    def __init__(
        self,
        state: NodeState,
        chooser: SourceChooser,
        outbox: Outbox,
        traffic: Traffic,
        heartbeat_seconds: float,
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._outbox = outbox
        self._traffic = traffic
        self._heartbeat_seconds = heartbeat_seconds
        self._is_connected = False

    @property
    def is_connected(self) -> bool:
        """Return whether a control instance has welcomed this node."""
        return self._is_connected

    async def run(self) -> None:
        """Connect and reconnect until cancelled."""
        while True:
            attempt = self._chooser.next_attempt()
            connection = await self._try_connect(attempt)
            if connection is None:
                continue
            await self._serve_until_lost(connection)
            self._chooser.note_lost()

    async def _serve_until_lost(self, connection: FrameConnection) -> None:
        current: FrameConnection | None = connection
        while current is not None:
            source = self._chooser.current
            _log.info(
                "source_connected",
                control=source.name if source else None,
            )
            self._outbox.clear()
            self._outbox.put(EndpointReport(self._state.endpoint_records))
            # The previous source may have failed before it received
            # these messages.
            for message in self._state.crash_evidence:
                self._outbox.put(message)
            self._is_connected = True
            self._state.set_connected(True)
            try:
                current = await self._serve(current)
            finally:
                self._is_connected = False
                self._state.set_connected(False)

    async def _serve(
        self,
        connection: FrameConnection,
    ) -> FrameConnection | None:
        """Serve a connection; return its replacement, or ``None``."""
        successor: FrameConnection | None = None
        try:
            async with anyio.create_task_group() as group:

                async def receive() -> None:
                    await self._receive(connection)
                    group.cancel_scope.cancel()

                async def seek() -> None:
                    nonlocal successor
                    successor = await self._seek_successor()
                    group.cancel_scope.cancel()

                group.start_soon(receive)
                group.start_soon(seek)
                group.start_soon(self._send_heartbeats)
                group.start_soon(self._send_rollout_reports)
                await self._outbox.pump(connection)
                group.cancel_scope.cancel()
        finally:
            await connection.close()
        return successor

    async def _receive(self, connection: FrameConnection) -> None:
        while True:
            match await connection.receive():
                case Ok(message):
                    self._chooser.note_message()
                    self._state.handle_message(message)
                case Err(fault):
                    _log.info("source_lost", cause=repr(fault))
                    return

    async def _seek_successor(self) -> FrameConnection | None:
        while True:
            await anyio.sleep(TICK_SECONDS)
            attempt = self._chooser.maybe_alternative()
            if attempt is None:
                if self._chooser.is_silent:
                    _log.warning("source_silent")
                    return None
                continue
            connection = await self._try_connect(attempt)
            if connection is None:
                continue
            source = self._chooser.current
            _log.info(
                "source_changed",
                control=source.name if source else None,
                reason=attempt.reason.name.lower(),
            )
            return connection

    async def _try_connect(
        self,
        attempt: Attempt,
    ) -> FrameConnection | None:
        """Make an attempt after its delay and record its outcome.

        Return ``None`` if the attempt and its fallbacks fail.
        """
        await anyio.sleep(attempt.delay_seconds)
        connected = await connect_first(
            (attempt.address, *attempt.fallbacks), self._note_unreachable
        )
        if connected is None:
            return None
        greeted = await greet_source(
            connected,
            self._state.hello(),
            self._traffic,
        )
        if isinstance(greeted, Err):
            fault = greeted.err_value
            self._note_unreachable(
                connected.address, fault.cause, fault.retry_after_seconds
            )
            return None
        self._chooser.note_connected(connected.address)
        source = greeted.ok_value
        self._state.expect_endpoints_from(source.endpoints_source)
        self._state.raise_incarnation(source.node_incarnation)
        return source.connection

    async def _send_rollout_reports(self) -> None:
        while True:
            await anyio.sleep(ROLLOUT_REPORT_SECONDS)
            self._state.report_rollouts()

    def _note_unreachable(
        self,
        address: ControlAddress,
        cause: str,
        retry_after_seconds: float = 0.0,
    ) -> None:
        self._chooser.note_failed(address, retry_after_seconds)
        _log.info("source_unreachable", control=address.name, cause=cause)

    async def _send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(self._heartbeat_seconds)
            holder = self._state.holder
            self._outbox.put(
                NodeHeartbeat(holder.active_position, holder.staged_position),
            )
