"""Collecting what all control instances know of their nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.gathering import Gathering
from rhubarbhollow_daemon.messages import (
    NodesAnswer,
    NodesRequest,
    NodeStatus,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.control_parts import ControlParts

ANSWER_TIMEOUT_SECONDS: Final = 0.5


class Fleet:
    """Ask every control instance for its nodes.

    Operators see which control instance each listed node is connected
    to, and so whose answer is missing.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._gathering = Gathering[NodesAnswer](ANSWER_TIMEOUT_SECONDS)

    async def collect(self) -> tuple[NodeStatus, ...]:
        """Return the nodes of every instance that answers in time."""
        links = self._parts.links
        answers = await self._gathering.gather(
            links.up_count,
            lambda request_id: links.broadcast(NodesRequest(request_id)),
        )
        remote = (node for answer in answers for node in answer.nodes)
        return (*self.own_nodes(), *remote)

    def own_nodes(self) -> tuple[NodeStatus, ...]:
        """Return the nodes that are connected here."""
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

    def take(self, answer: NodesAnswer) -> None:
        """Keep an answer for whoever asked for it."""
        self._gathering.take(answer.request_id, answer)
