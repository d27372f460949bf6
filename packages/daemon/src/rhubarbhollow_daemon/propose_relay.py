"""Commands that the leader proposes for this control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.messages import ProposeAnswer, ProposeRequest
from rhubarbhollow_daemon.pending_answers import PendingAnswers

if TYPE_CHECKING:
    from rhubarbhollow_daemon.log_group import LogGroup
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
        self._pending = PendingAnswers[ProposeAnswer](
            first + kind * REQUESTS_PER_KIND
        )

    async def ask(
        self,
        leader: str,
        payload: bytes,
        timeout_seconds: float,
    ) -> ProposeAnswer | None:
        """Return the leader's answer, or ``None`` after the timeout."""

        def send(request_id: int) -> None:
            request = ProposeRequest(
                request_id, self._group, payload, self._kind
            )
            self._links.send(leader, request)

        return await self._pending.ask(send, timeout_seconds)

    def deliver(self, answer: ProposeAnswer) -> None:
        """Deliver an answer to its command, if that still waits."""
        self._pending.deliver(answer.request_id, answer)
