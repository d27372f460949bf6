"""Graceful shutdown: the steps in which a node leaves the mesh."""

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

# Delays a step that ends early by at most 20 ms, which is short beside
# the second that a restart takes.
POLL_SECONDS: Final = 0.02

_log = structlog.get_logger()


class Withdrawable(Protocol):
    """Hold upstreams that can be marked as leaving together."""

    def leave_all(self) -> None:
        """Announce that none of the upstreams takes new calls."""
        ...


async def leave_mesh(
    call_node: CallNode,
    upstreams: Withdrawable,
    drain: DrainSettings,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> None:
    """Let callers leave, mark upstreams as leaving, finish open calls.

    The upstream keeps serving while its callers leave, since the rest
    of the mesh lacks its slots once it is marked as leaving.  The node
    serves the calls that its upstream makes for ``drain.spread``, or
    with ``drain.is_spread_cut_short`` only until the upstream has no
    call left to run.
    """
    _log.info("drain_started", in_flight=call_node.in_flight)
    call_node.begin_leaving()
    await sleep(drain.hold.total_seconds())
    upstreams.leave_all()
    if drain.is_spread_cut_short:
        await _wait(
            drain.spread, lambda: not _has_running_calls(call_node), sleep
        )
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


def _has_running_calls(call_node: CallNode) -> bool:
    port = call_node.local_port
    return port is not None and not port.gate.is_idle


async def _wait(
    limit: timedelta,
    is_done: Callable[[], bool],
    sleep: Callable[[float], Awaitable[None]],
) -> bool:
    """Poll until done; return whether that was within ``limit``."""
    for _ in range(math.ceil(limit.total_seconds() / POLL_SECONDS)):
        if is_done():
            return True
        await sleep(POLL_SECONDS)
    return is_done()
