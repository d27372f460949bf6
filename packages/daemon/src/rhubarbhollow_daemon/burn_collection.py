"""Collecting the counts of calls from all nodes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.gathering import Gathering
from rhubarbhollow_daemon.messages import (
    BurnAnswer,
    BurnCount,
    BurnRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.control_parts import ControlParts

NODE_TIMEOUT_SECONDS: Final = 0.5
PEER_TIMEOUT_SECONDS: Final = 1.0


class BurnCollection:
    """Ask nodes for their counts when an operator wants a report.

    Counts travel only when they are asked for, so that they cost no
    control bytes at rest. Each control instance sums its own nodes and
    the one that was asked sums the instances.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._nodes = Gathering[BurnAnswer](NODE_TIMEOUT_SECONDS)
        self._peers = Gathering[BurnAnswer](PEER_TIMEOUT_SECONDS)

    async def collect(self) -> tuple[BurnCount, ...]:
        """Return the sums over every node that answers in time."""
        links = self._parts.links
        remote = await self._peers.gather(
            links.up_count,
            lambda request_id: links.broadcast(BurnRequest(request_id)),
        )
        own = await self.collect_own()
        return sum_counts(
            (*own, *(count for one in remote for count in one.counts)),
        )

    async def collect_own(self) -> tuple[BurnCount, ...]:
        """Return the sums over the nodes that are connected here."""
        desk = self._parts.desk
        answers = await self._nodes.gather(
            desk.link_count,
            lambda request_id: desk.broadcast(BurnRequest(request_id)),
        )
        return sum_counts(count for one in answers for count in one.counts)

    async def serve(self, control: str, request: BurnRequest) -> None:
        """Answer another control instance."""
        counts = await self.collect_own()
        answer = BurnAnswer(request.request_id, counts)
        self._parts.links.send(control, answer)

    def take_from_node(self, answer: BurnAnswer) -> None:
        """Keep a node's answer."""
        self._nodes.take(answer.request_id, answer)

    def take_from_peer(self, answer: BurnAnswer) -> None:
        """Keep another control instance's answer."""
        self._peers.take(answer.request_id, answer)


def sum_counts(counts: Iterable[BurnCount]) -> tuple[BurnCount, ...]:
    """Add up the counts of the same subject and window."""
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
