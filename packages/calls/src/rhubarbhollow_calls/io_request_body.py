"""The replay buffer for request bodies."""

from __future__ import annotations

from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES


class RequestBody:
    """Buffer a request body for retries, up to ``MAX_REPLAY_BYTES``.

    Until the first write nothing may be dropped, so the reader has to
    pause once ``is_full``.  After it, a longer body is dropped, and the
    request can no longer be retried.
    """

    __slots__ = ("_is_kept", "_size", "is_whole", "parts")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.is_whole = False
        self._size = 0
        self._is_kept = True

    @property
    def is_kept(self) -> bool:
        """Return whether everything received is still buffered."""
        return self._is_kept

    @property
    def is_full(self) -> bool:
        """Return whether the body exceeds the replay limit."""
        return self._size > MAX_REPLAY_BYTES

    @property
    def size(self) -> int:
        """Return the number of bytes received so far."""
        return self._size

    def add(self, data: bytes) -> None:
        """Buffer another part, unless the body has been dropped."""
        self._size += len(data)
        if self._is_kept:
            self.parts.append(data)

    def drop_if_long(self) -> None:
        """Drop a body that exceeds the replay limit."""
        if self._size > MAX_REPLAY_BYTES:
            self._is_kept = False
            self.parts.clear()
