"""The steps in which a node leaves the mesh."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, Protocol

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta

    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_daemon.settings_drain import DrainSettings

# a step that ends early is noticed within two hundredths of a second,
# which is little beside the second that a restart takes
POLL_SECONDS: Final = 0.02

_log = structlog.get_logger()


class Withdrawable(Protocol):
    """Hold the announcements of the upstreams beside a node."""

    def leave_all(self) -> None:
        """Ask for no new calls for any of them."""
        ...


async def leave_mesh(
    call_node: CallNode,
    upstreams: Withdrawable,
    drain: DrainSettings,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> None:
    """Let callers leave, withdraw the upstream, finish what runs.

    The upstream goes on serving while callers are still leaving: its
    slots are missed by the others from its withdrawal on.  Calls that
    it makes itself are served until it has nothing left to run.
    """
    _log.info("drain_started", in_flight=call_node.in_flight)
    call_node.begin_leaving()
    await sleep(drain.hold.total_seconds())
    upstreams.leave_all()
    if drain.is_spread_cut_short:
        await _wait(drain.spread, lambda: not _is_running(call_node), sleep)
    else:
        await sleep(drain.spread.total_seconds())
    call_node.begin_drain()
    is_complete = await _wait(
        drain.budget, lambda: not call_node.in_flight, sleep
    )
    _log.info(
        "drain_finished",
        is_complete=is_complete,
        in_flight=call_node.in_flight,
    )


def _is_running(call_node: CallNode) -> bool:
    port = call_node.local_port
    return port is not None and not port.gate.is_idle


async def _wait(
    limit: timedelta,
    is_done: Callable[[], bool],
    sleep: Callable[[float], Awaitable[None]],
) -> bool:
    """Wait until it is done; return whether it was in time."""
    for _ in range(math.ceil(limit.total_seconds() / POLL_SECONDS)):
        if is_done():
            return True
        await sleep(POLL_SECONDS)
    return is_done()
