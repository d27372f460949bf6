"""Collection of error budget counts from all nodes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    BurnCount,
    BurnRequest,
)
from rhubarbhollow_daemon.scatter_gather import ScatterGather

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.control_parts import ControlParts

NODE_TIMEOUT_SECONDS: Final = 0.5
PEER_TIMEOUT_SECONDS: Final = 1.0


class BurnCollection:
    """Request the nodes' counts when an operator asks for a report.

    Counts are sent only on request and add no control traffic
    otherwise. Each control instance sums the counts of its own
    nodes; the one that received the operator's request sums the
    instances.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._nodes = ScatterGather[BurnAnswer](NODE_TIMEOUT_SECONDS)
        self._peers = ScatterGather[BurnAnswer](PEER_TIMEOUT_SECONDS)

    async def collect(self) -> tuple[BurnCount, ...]:
        """Return the sums over all nodes.

        Nodes and instances that do not answer in time are left out.
        """
        links = self._parts.links
        remote = await self._peers.gather(
            links.up_count,
            lambda request_id: links.broadcast(BurnRequest(request_id)),
        )
        own = await self.collect_own()
        return sum_counts(
            (*own, *(count for answer in remote for count in answer.counts)),
        )

    async def collect_own(self) -> tuple[BurnCount, ...]:
        """Return the sums over the nodes connected to this instance."""
        node_connections = self._parts.node_connections
        answers = await self._nodes.gather(
            node_connections.link_count,
            lambda request_id: node_connections.broadcast(
                BurnRequest(request_id)
            ),
        )
        return sum_counts(
            count for answer in answers for count in answer.counts
        )

    async def serve(self, control: str, request: BurnRequest) -> None:
        """Send the sums of this instance's nodes to ``control``."""
        counts = await self.collect_own()
        answer = BurnAnswer(request.request_id, counts)
        self._parts.links.send(control, answer)

    def deliver_from_node(self, answer: BurnAnswer) -> None:
        """Hand a node's answer to the collection that awaits it."""
        self._nodes.deliver(answer.request_id, answer)

    def deliver_from_peer(self, answer: BurnAnswer) -> None:
        """Hand a peer's answer to the collection that awaits it."""
        self._peers.deliver(answer.request_id, answer)


def sum_counts(counts: Iterable[BurnCount]) -> tuple[BurnCount, ...]:
    """Sum the counts of each subject and window, sorted by both."""
    sums: defaultdict[tuple[str, str, str, int], list[int]] = defaultdict(
        lambda: [0, 0, 0],
    )
    for count in counts:
        key = (count.scope, count.service, count.name, count.window_seconds)
        total = sums[key]
        total[0] += count.calls
        total[1] += count.failed
        total[2] += count.late
    return tuple(
        BurnCount(*key, calls=calls, failed=failed, late=late)
        for key, (calls, failed, late) in sorted(sums.items())
    )
