"""The daemon process: its listeners, tasks and shutdown.

The modules of the node and of the control instance are imported only
where that part is built: importing those of a part that the process
does not run would take a third of its start-up time.
"""

from __future__ import annotations

import asyncio
import signal
from dataclasses import asdict
from random import SystemRandom
from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok, Result

from rhubarbhollow_calls.io_garbage_collection import freeze_startup_objects
from rhubarbhollow_daemon.bound_listener import bind_listener, open_listener
from rhubarbhollow_daemon.caller_admission import accept_once_ready
from rhubarbhollow_daemon.extension import Extension, ExtensionHost
from rhubarbhollow_daemon.graceful_shutdown import leave_mesh
from rhubarbhollow_daemon.http_response import answer_json
from rhubarbhollow_daemon.http_server import (
    AdminApplication,
    build_admin_server,
    serve_admin,
)
from rhubarbhollow_daemon.load_reporting import report_loads
from rhubarbhollow_daemon.metric_collection import (
    collect_control_metrics,
    collect_node_metrics,
)
from rhubarbhollow_daemon.process_handlers import ProcessHandlers
from rhubarbhollow_wire.clock import SystemClock
from rhubarbhollow_wire.traffic import Traffic

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator, Mapping

    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.document_relay import DocumentRelay
    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_response import HttpResponse
    from rhubarbhollow_daemon.metric_sample import MetricSample
    from rhubarbhollow_daemon.node_handlers import NodeHandlers
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_daemon.rollout_orders import RolloutOrders
    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_replication.store_fault import StoreFault

HOUSEKEEPING_SECONDS: Final = 1.0

_log = structlog.get_logger()


async def run_process(
    settings: Settings,
    extension: Extension | None = None,
    caller_socket: socket.socket | None = None,
) -> Result[None, StoreFault]:
    """Run the process until a signal ends it.

    ``caller_socket`` is the listener for callers if it is open already.
    Return the fault if the control instance's store cannot be used.
    """
    clock = SystemClock()
    random = SystemRandom()
    incarnation = int(clock.utc().timestamp() * 1000)
    node: NodeParts | None = None
    if settings.has_node:
        from rhubarbhollow_daemon.node_building import (  # noqa: PLC0415
            build_node,
        )

        node = build_node(settings, incarnation, clock, random)
    application = AdminApplication()
    peer_traffic = Traffic(settings.instance.data_centre)
    control: ControlParts | None = None
    if settings.control is not None:
        from rhubarbhollow_daemon.control_building import (  # noqa: PLC0415
            build_control,
        )

        built = build_control(
            settings,
            settings.control,
            incarnation,
            peer_traffic,
            clock,
            random,
        )
        if isinstance(built, Err):
            return built
        control = built.ok_value
    process = _Process(
        settings,
        node,
        control,
        application,
        peer_traffic,
        extension,
        caller_socket,
    )
    await process.run()
    return Ok(None)


class _Process:
    """Own the listeners and tasks, and stop them in order."""

    def __init__(
        self,
        settings: Settings,
        node: NodeParts | None,
        control: ControlParts | None,
        application: AdminApplication,
        peer_traffic: Traffic,
        extension: Extension | None = None,
        caller_socket: socket.socket | None = None,
    ) -> None:
        self._caller_socket = caller_socket
        self._settings = settings
        self._node = node
        self._control = control
        self._application = application
        self._extension = extension
        self._documents: DocumentRelay | None = None
        self._peer_traffic = peer_traffic
        self._served_traffic = Traffic(settings.instance.data_centre)
        self._admin = build_admin_server(application)

    async def run(self) -> None:
        """Serve until a signal arrives and the drain has ended."""
        listen = self._settings.listen
        servers = await self._listen_for_calls()
        admin_socket = bind_listener(listen.host, listen.admin_port)
        async with anyio.create_task_group() as group:
            if self._control is not None:
                self._start_control(self._control, group)
            self._application.add_on_demand(self._register_handlers)
            if self._node is not None:
                group.start_soon(self._node.session.run)
                group.start_soon(self._run_housekeeping, self._node)
                group.start_soon(
                    report_loads,
                    self._node.call_node,
                    self._node.outbox,
                    self._node.clock,
                )
                group.start_soon(self._node.claims.abandon_lost_claims)
                group.start_soon(self._node.quota.run)
                group.start_soon(
                    accept_once_ready, servers[0], self._node.call_node
                )
            group.start_soon(serve_admin, self._admin, admin_socket)
            self._start_extension(group)
            freeze_startup_objects()
            _log.info("process_started", mesh=self._settings.mesh)
            await self._wait_for_shutdown()
            for server in servers:
                server.close()
            if self._node is not None:
                self._node.call_node.close()
            if self._extension is not None:
                self._extension.stop()
            self._admin.stop()
            group.cancel_scope.cancel()
        _log.info("process_stopped")

    async def _listen_for_calls(self) -> list[asyncio.Server]:
        if self._node is None:
            return []
        listen = self._settings.listen
        loop = asyncio.get_running_loop()
        call_node = self._node.call_node
        callers = await loop.create_server(
            call_node.caller_protocol_factory,
            sock=self._caller_socket
            or open_listener(listen.host, listen.caller_port),
            backlog=listen.backlog,
            start_serving=False,
        )
        peers = await loop.create_server(
            call_node.peer_protocol_factory,
            sock=bind_listener(listen.host, listen.peer_port),
            backlog=listen.backlog,
        )
        return [callers, peers]

    def _start_control(self, parts: ControlParts, group: TaskGroup) -> None:
        from rhubarbhollow_daemon.control_tasks import (  # noqa: PLC0415
            start_control,
        )

        extension = self._extension
        self._documents = start_control(
            self._settings,
            parts,
            self._application,
            self._served_traffic,
            self._peer_traffic,
            group,
            None if extension is None else extension.document_format,
        )

    def _start_extension(self, group: TaskGroup) -> None:
        if self._extension is None:
            return
        host = ExtensionHost(
            self._settings,
            self._node,
            self._control,
            self._documents,
            self._build_rollouts(),
        )
        self._extension.start(host, group)

    def _build_rollouts(self) -> RolloutOrders | None:
        control, documents = self._control, self._documents
        if control is None or documents is None:
            return None
        from rhubarbhollow_daemon.rollout_orders import (  # noqa: PLC0415
            RolloutOrders,
        )

        return RolloutOrders(documents.log, control.machine, control.clock)

    def _register_handlers(self) -> None:
        from rhubarbhollow_daemon.metrics import Metrics  # noqa: PLC0415

        metrics = Metrics(
            self._settings.instance.name,
            self._settings.instance.data_centre,
        )
        if self._node is None:
            ProcessHandlers(metrics, self._collect_metrics).register(
                self._application
            )
            return
        from rhubarbhollow_daemon.explain_handlers import (  # noqa: PLC0415
            ExplainHandlers,
        )
        from rhubarbhollow_daemon.node_handlers import (  # noqa: PLC0415
            NodeHandlers,
        )

        handlers = NodeHandlers(self._node, metrics, self._collect_metrics)
        handlers.register(self._application)
        ExplainHandlers(self._node).register(self._application)
        if self._control is None:

            async def show_status(
                _: HttpRequest,
                __: Mapping[str, str],
            ) -> HttpResponse:
                return answer_json(_status_document(handlers))

            self._application.add("GET", "/v1/status", show_status)

    def _collect_metrics(self) -> Iterator[MetricSample]:
        if self._node is not None:
            yield from collect_node_metrics(self._node)
        if self._control is not None:
            traffic = {
                "served": self._served_traffic,
                "peer": self._peer_traffic,
            }
            yield from collect_control_metrics(self._control, traffic)

    async def _run_housekeeping(self, node: NodeParts) -> None:
        while True:
            await anyio.sleep(HOUSEKEEPING_SECONDS)
            node.call_node.tick()
            _log_overload(node)
            node.upstreams.expire()
            node.burn.flush()
            node.state.endpoints.purge()
            node.quarantine.forget_old()

    async def _wait_for_shutdown(self) -> None:
        """Drain on the first signal, stop on SIGINT during the drain.

        A supervisor may repeat SIGTERM; the calls in flight must not
        pay for that. It has SIGKILL to stop a process at once.
        """
        with anyio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
        ) as signals:
            await signals.__anext__()
            async with anyio.create_task_group() as group:

                async def drain() -> None:
                    await self._drain()
                    group.cancel_scope.cancel()

                group.start_soon(drain)
                async for number in signals:
                    if number == signal.SIGINT:
                        break
                    _log.info("signal_repeated")
                _log.warning("stop_without_drain")
                group.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Notify the extension, then leave the mesh and the logs."""
        if self._extension is not None:
            self._extension.begin_leaving()
        async with anyio.create_task_group() as group:
            node, control = self._node, self._control
            if node is not None:
                drain = self._settings.drain
                group.start_soon(
                    leave_mesh, node.call_node, node.upstreams, drain
                )
            if control is not None:
                group.start_soon(self._hand_over_votes, control)

    async def _hand_over_votes(self, parts: ControlParts) -> None:
        from rhubarbhollow_daemon.vote_handover import (  # noqa: PLC0415
            hand_over_votes,
        )

        settings = self._settings.control
        if settings is None:
            return
        replicas = [parts.replica]
        if parts.claims is not None:
            replicas.append(parts.claims.replica)
        await hand_over_votes(replicas, settings.handover, parts.clock)


def _status_document(handlers: NodeHandlers) -> dict[str, object]:
    return asdict(handlers.status())


def _log_overload(node: NodeParts) -> None:
    """Log the begin and the end of an overload of the upstream."""
    port = node.call_node.local_port
    change = None if port is None else port.observe_overload()
    if port is None or change is None:
        return
    _log.info(
        "overload_started" if change.is_overloaded else "overload_ended",
        upstream=port.upstream.name,
        rejected=change.rejected,
        waiting=port.gate.waiting,
        slots=port.gate.slots,
    )
