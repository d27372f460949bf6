"""Collection of the node lists of all control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.messages import NodesAnswer, NodesRequest, NodeStatus
from rhubarbhollow_daemon.scatter_gather import ScatterGather

if TYPE_CHECKING:
    from rhubarbhollow_daemon.control_parts import ControlParts

ANSWER_TIMEOUT_SECONDS: Final = 0.5


class Fleet:
    """Request the connected nodes of every control instance.

    Each node is listed with its control instance, so that operators
    can see which instance did not answer.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._scatter_gather = ScatterGather[NodesAnswer](
            ANSWER_TIMEOUT_SECONDS
        )

    async def collect(self) -> tuple[NodeStatus, ...]:
        """Return the nodes of all instances that answer in time."""
        links = self._parts.links
        answers = await self._scatter_gather.gather(
            links.up_count,
            lambda request_id: links.broadcast(NodesRequest(request_id)),
        )
        remote = (node for answer in answers for node in answer.nodes)
        return (*self.own_nodes(), *remote)

    def own_nodes(self) -> tuple[NodeStatus, ...]:
        """Return the nodes connected to this instance."""
        now = self._parts.clock.monotonic()
        return tuple(
            NodeStatus(
                name=entry.node,
                data_centre=entry.data_centre,
                control=self._parts.name,
                active_position=entry.active_position,
                staged_position=entry.staged_position,
                age_seconds=now - entry.heard_at,
            )
            for entry in self._parts.register.entries
        )

    def deliver(self, answer: NodesAnswer) -> None:
        """Hand a peer's answer to the collection that awaits it."""
        self._scatter_gather.deliver(answer.request_id, answer)
