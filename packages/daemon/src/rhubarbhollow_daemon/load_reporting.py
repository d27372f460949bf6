"""Reports of the local upstream's load to the control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from rhubarbhollow_placement.load_reporter import LoadReporter
from rhubarbhollow_placement.upstream_load import LoadReport

if TYPE_CHECKING:
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_wire.clock import Clock

# Free slots change with each call; more frequent reports would cost
# more than the placement gains.
INTERVAL_SECONDS: Final = 0.2


async def report_loads(
    call_node: CallNode, outbox: Outbox, clock: Clock
) -> None:
    """Report the load until cancelled.

    Nothing is sent for an upstream that does not tell its speed: such
    meshes place calls by the reports on responses alone.
    """
    reporter = LoadReporter(clock)
    while True:
        await anyio.sleep(INTERVAL_SECONDS)
        port = call_node.local_port
        if port is None or not port.speed.is_known:
            continue
        load = reporter.maybe_report(port.load(with_times=True))
        if load is not None:
            outbox.put(LoadReport((load,)))
