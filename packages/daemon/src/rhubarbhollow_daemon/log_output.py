"""A log output that never blocks the process."""

from __future__ import annotations

import os
from typing import Final

# Writes to a pipe are atomic up to PIPE_BUF, 4096 bytes on Linux: lines
# of other writers cannot interleave with a write of at most this
# length.
MAX_LINE_BYTES: Final = 4_096


class NonBlockingOutput:
    """Write whole lines to a file descriptor, or drop and count them.

    If the reader is too slow the pipe fills up; lines are then dropped
    instead of blocking the process, and the next line that is written
    is preceded by a ``log_lines_dropped`` event with their number.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines not yet reported."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line; return the length of ``text`` in any case.

        The text is truncated to ``MAX_LINE_BYTES``.  With an added
        newline or a ``log_lines_dropped`` event the write may be longer
        and is then not atomic.
        """
        data = text.encode("utf-8", "replace")[:MAX_LINE_BYTES]
        if not data.endswith(b"\n"):
            data += b"\n"
        if self._dropped:
            data = b"event=log_lines_dropped count=%d\n" % self._dropped + data
        if self._unwritten and not self._flush_unwritten():
            self._dropped += 1
            return len(text)
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # This includes a closed read end: a failing log output
            # must not end the process.
            self._dropped += 1
            return len(text)
        self._dropped = 0
        self._unwritten = data[written:]
        return len(text)

    def flush(self) -> None:
        """Try to write the remainder of a partly written line."""
        if self._unwritten:
            self._flush_unwritten()

    def _flush_unwritten(self) -> bool:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten
