"""Graceful shutdown: the steps in which a node leaves the mesh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_daemon.settings_drain import DrainSettings
    from rhubarbhollow_wire.clock import Clock

# Delays a step that ends early by at most 20 ms, which is short beside
# the second that a restart takes.
POLL_SECONDS: Final = 0.02
# Time for the last answers to leave this process; several round trips
# between two data centres.
LAST_ANSWER_SECONDS: Final = 0.2

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
    call left to run.  What is left of the spread, calls in flight may
    use; the end of the last step is fixed at the beginning, since many
    waits that each end slightly late add up.  Calls that are then still
    in flight are answered, which takes ``LAST_ANSWER_SECONDS`` at most.
    """
    _log.info("drain_started", in_flight=call_node.in_flight)
    clock = call_node.clock
    total = drain.hold + drain.spread + drain.budget
    ends_at = clock.monotonic() + total.total_seconds()
    call_node.begin_leaving(ends_at)
    await sleep(drain.hold.total_seconds())
    upstreams.leave_all()
    spread = drain.spread.total_seconds()
    if drain.is_spread_cut_short:
        await wait_until(
            clock.monotonic() + spread,
            lambda: not _has_running_calls(call_node),
            clock,
            sleep,
        )
    else:
        await sleep(spread)
    call_node.begin_drain()
    is_complete = await wait_until(
        ends_at, lambda: not call_node.has_unfinished_work, clock, sleep
    )
    _log.info(
        "drain_finished",
        is_complete=is_complete,
        in_flight=call_node.in_flight,
    )
    if is_complete:
        return
    call_node.end_calls()
    await wait_until(
        clock.monotonic() + LAST_ANSWER_SECONDS,
        lambda: not call_node.has_unfinished_work,
        clock,
        sleep,
    )


def _has_running_calls(call_node: CallNode) -> bool:
    port = call_node.local_port
    return port is not None and not port.gate.is_idle


async def wait_until(
    ends_at: float,
    is_done: Callable[[], bool],
    clock: Clock,
    sleep: Callable[[float], Awaitable[None]],
) -> bool:
    """Poll until done or ``ends_at``, in monotonic seconds.

    Return whether it is done.
    """
    while not is_done():
        left = ends_at - clock.monotonic()
        if left <= 0:
            return False
        await sleep(min(POLL_SECONDS, left))
    return True
