"""Hand-over of a stopping control instance's votes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from rhubarbhollow_daemon.graceful_shutdown import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from datetime import timedelta

    from rhubarbhollow_wire.clock import Clock

_log = structlog.get_logger()


class Voter(Protocol):
    """A member of a quorum log that can be asked to leave."""

    @property
    def awaits_successor(self) -> bool:
        """Whether its vote may still move to another member."""
        ...

    def begin_leaving(self) -> None:
        """Ask for a successor."""
        ...


async def hand_over_votes(
    voters: Sequence[Voter],
    limit: timedelta,
    clock: Clock,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> None:
    """Let other members take over the votes, for ``limit`` at most.

    An instance that stops for good and keeps its vote leaves a log that
    the next loss ends, although its successor is at hand.
    """
    ends_at = clock.monotonic() + limit.total_seconds()
    for voter in voters:
        voter.begin_leaving()
    is_complete = await wait_until(
        ends_at,
        lambda: not any(voter.awaits_successor for voter in voters),
        clock,
        sleep,
    )
    _log.info("votes_handed_over", is_complete=is_complete)
