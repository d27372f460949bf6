"""A bounded send queue for one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_wire.faults import FrameTooLarge, UnencodableMessage

if TYPE_CHECKING:
    from rhubarbhollow_wire.connection import FrameConnection

OUTBOX_MESSAGES: Final = 4_096
BATCH_MESSAGES: Final = 64

_log = structlog.get_logger()


class Outbox:
    """Queue messages from any task for the one task that sends them.

    A full queue drops the newest message: every protocol that uses it
    retransmits what matters, and an unbounded queue would only hide a
    peer that is too slow.
    """

    def __init__(self, limit: int = OUTBOX_MESSAGES) -> None:
        self._sender, self._receiver = anyio.create_memory_object_stream[
            object
        ](limit)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many messages were dropped."""
        return self._dropped

    def put(self, message: object) -> None:
        """Queue a message without waiting, or drop it."""
        try:
            self._sender.send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._dropped += 1

    def clear(self) -> None:
        """Discard the messages queued for an earlier connection."""
        while self._maybe_next() is not None:
            pass

    async def pump(self, connection: FrameConnection) -> None:
        """Send queued messages in batches until a send fails.

        A message that cannot be sent costs only itself: it would fail
        on the next connection too.
        """
        while True:
            batch = [await self._receiver.receive()]
            while len(batch) < BATCH_MESSAGES:
                message = self._maybe_next()
                if message is None:
                    break
                batch.append(message)
            match await connection.send(*batch):
                case Err(UnencodableMessage() | FrameTooLarge() as fault):
                    self._dropped += 1
                    _log.error("message_not_sent", fault=repr(fault))
                case Err():
                    return

    def _maybe_next(self) -> object | None:
        try:
            return self._receiver.receive_nowait()
        except anyio.WouldBlock:
            return None
