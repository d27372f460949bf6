"""The moment from which a starting node accepts its callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

if TYPE_CHECKING:
    import asyncio

    from rhubarbhollow_calls.io_node import CallNode

# A node gets its release within some round trips and an election of the
# control instances; a caller that waits longer is told to come back.
MAX_HOLD_SECONDS: Final = 0.3


async def accept_once_ready(callers: asyncio.Server, node: CallNode) -> None:
    """Accept callers once a release is in force, or after the hold.

    The load that this answers: callers that connect to a node which is
    just starting. They wait in the queue of the socket; accepted before
    the first release, each of them would be refused.
    """
    with anyio.move_on_after(MAX_HOLD_SECONDS):
        await node.wait_for_snapshot()
    await callers.start_serving()
