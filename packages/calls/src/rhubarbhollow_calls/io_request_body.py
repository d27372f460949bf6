"""The part of a request's body that may have to be sent again."""

from __future__ import annotations

from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES


class RequestBody:
    """Keep the body while it is short, and know whether it is whole.

    Until the first write nothing may be dropped, so the reader has to
    stop once ``is_full``; after it a longer body is let go, and with it
    the means to send the request again.
    """

    __slots__ = ("_is_kept", "_size", "is_whole", "parts")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.is_whole = False
        self._size = 0
        self._is_kept = True

    @property
    def is_kept(self) -> bool:
        """Return whether all that was read is still held."""
        return self._is_kept

    @property
    def is_full(self) -> bool:
        """Return whether more than may be kept is held."""
        return self._size > MAX_REPLAY_BYTES

    @property
    def size(self) -> int:
        """Return how many bytes have been read so far."""
        return self._size

    def add(self, data: bytes) -> None:
        """Keep another part, if the parts before it are kept."""
        self._size += len(data)
        if self._is_kept:
            self.parts.append(data)

    def drop_if_long(self) -> None:
        """Let go of a body that is longer than may be kept."""
        if self._size > MAX_REPLAY_BYTES:
            self._is_kept = False
            self.parts.clear()
