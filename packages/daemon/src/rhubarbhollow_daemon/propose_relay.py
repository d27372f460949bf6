"""Commands that the leader proposes for this control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from rhubarbhollow_daemon.messages import ProposeRequest

if TYPE_CHECKING:
    from rhubarbhollow_daemon.log_group import LogGroup
    from rhubarbhollow_daemon.messages import ProposeAnswer
    from rhubarbhollow_daemon.peer_links import PeerLinks

REQUESTS_PER_INCARNATION: Final = 1 << 21
# Kinds are below eight and share the request ids of an incarnation.
REQUESTS_PER_KIND: Final = 1 << 18


class ProposeRelay:
    """Send commands to the leader and match its answers to them.

    An answer to an earlier incarnation of this process may arrive after
    a restart, so the request ids of two incarnations do not overlap,
    and neither do those of two kinds, up to ``REQUESTS_PER_KIND``
    (2**18) requests of each kind in one incarnation.
    """

    def __init__(self, links: PeerLinks, group: LogGroup, kind: int) -> None:
        self._links = links
        self._group = group
        self._kind = kind
        first = links.incarnation * REQUESTS_PER_INCARNATION
        self._last_id = first + kind * REQUESTS_PER_KIND
        self._answers: dict[int, ProposeAnswer] = {}
        self._pending: dict[int, anyio.Event] = {}

    async def ask(
        self,
        leader: str,
        payload: bytes,
        timeout_seconds: float,
    ) -> ProposeAnswer | None:
        """Return the leader's answer, or ``None`` after the timeout."""
        self._last_id += 1
        request_id = self._last_id
        event = self._pending[request_id] = anyio.Event()
        request = ProposeRequest(request_id, self._group, payload, self._kind)
        try:
            self._links.send(leader, request)
            with anyio.move_on_after(timeout_seconds):
                await event.wait()
        finally:
            del self._pending[request_id]
            answer = self._answers.pop(request_id, None)
        return answer

    def deliver(self, answer: ProposeAnswer) -> None:
        """Deliver an answer to its command, if that still waits."""
        event = self._pending.get(answer.request_id)
        if event is not None:
            self._answers[answer.request_id] = answer
            event.set()
