"""A log output that never makes the process wait."""

from __future__ import annotations

import os
from typing import Final

# one line in a burst this long cannot be cut in the middle by others
MAX_LINE_BYTES: Final = 4_096


class NonBlockingOutput:
    """Write whole lines to a descriptor, or drop and count them.

    A reader that does not keep up makes a pipe full; the process then
    goes on without the lines and says later how many there were.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the lines that were dropped and not told of yet."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line as it comes from the logger."""
        data = text.encode("utf-8", "replace")[:MAX_LINE_BYTES]
        if not data.endswith(b"\n"):
            data += b"\n"
        if self._dropped:
            data = b"event=log_lines_dropped count=%d\n" % self._dropped + data
        if self._rest and not self._flush_rest():
            self._dropped += 1
            return len(text)
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # also if nobody reads any more: logs end no process
            self._dropped += 1
            return len(text)
        self._dropped = 0
        self._rest = data[written:]
        return len(text)

    def flush(self) -> None:
        """Write what is left of the last line, if it can be."""
        if self._rest:
            self._flush_rest()

    def _flush_rest(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest
