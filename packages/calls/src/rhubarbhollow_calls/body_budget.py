"""The memory for request bodies that wait to be sent."""

from __future__ import annotations

from rhubarbhollow_calls.http_limits import (
    MAX_WAITING_BODIES_BYTES,
    MAX_WAITING_BODY_BYTES,
)


class BodyBudget:
    """Bound the bytes of the long bodies that wait at one node.

    A connection whose reading is paused does not show that its client
    has left, so reading goes on while the budget lasts.
    """

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used = 0

    @property
    def used(self) -> int:
        """Return the number of reserved bytes."""
        return self._used

    def reserve(self, size: int, body_size: int) -> bool:
        """Reserve ``size`` more bytes for a body; false above a limit.

        ``body_size`` is the size of the whole body received so far.
        """
        if body_size > MAX_WAITING_BODY_BYTES:
            return False
        if self._used + size > MAX_WAITING_BODIES_BYTES:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        self._used -= size
