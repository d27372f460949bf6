"""Relay of upstreams' loads to the nodes of their data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog

from rhubarbhollow_placement.load_board import LoadBoard
from rhubarbhollow_placement.upstream_load import LoadReport, is_usable

if TYPE_CHECKING:
    from rhubarbhollow_daemon.node_connections import NodeConnections
    from rhubarbhollow_distribution.hello import Hello

INTERVAL_SECONDS: Final = 0.2

_log = structlog.get_logger()


class LoadRelay:
    """Collect the loads of a data centre and send them to its nodes.

    Loads stay within the data centre: they change several times a
    second, and bytes between data centres are expensive. They are soft
    state, so nothing is lost with a control instance but a report.
    """

    def __init__(self, data_centre: str, nodes: NodeConnections) -> None:
        self._data_centre = data_centre
        self._nodes = nodes
        self._board = LoadBoard()

    def receive(self, hello: Hello, report: LoadReport) -> None:
        """Record what a node reports of the upstream beside it."""
        if hello.data_centre != self._data_centre:
            return
        own = f"{hello.node}/"
        usable = [
            load
            for load in report.loads
            if load.name.startswith(own) and is_usable(load)
        ]
        if len(usable) < len(report.loads):
            _log.warning("upstream_loads_refused", node=hello.node)
        self._board.record(usable)

    async def run(self) -> None:
        """Send changed loads until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_SECONDS)
            changed = self._board.take_changed()
            if changed:
                self._nodes.broadcast_within(
                    self._data_centre, LoadReport(changed)
                )
