"""Collecting what all control instances know of their nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

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

    An instance that does not answer in time is left out: operators see
    which control instance each listed node is connected to.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._last_id = 0
        self._answers: dict[int, list[NodesAnswer]] = {}
        self._changed = anyio.Event()

    async def collect(self) -> tuple[NodeStatus, ...]:
        """Return the nodes of every instance that answers in time."""
        self._last_id += 1
        request_id = self._last_id
        answers = self._answers[request_id] = []
        links = self._parts.links
        expected = sum(link.is_up for link in links.by_name.values())
        links.broadcast(NodesRequest(request_id))
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                while len(answers) < expected:
                    await self._changed.wait()
        finally:
            del self._answers[request_id]
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
        answers = self._answers.get(answer.request_id)
        if answers is None:
            return
        answers.append(answer)
        self._changed.set()
        self._changed = anyio.Event()
