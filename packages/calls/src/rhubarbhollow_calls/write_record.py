"""Whether any byte of one request has been written to an upstream."""

from __future__ import annotations

from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage


class WriteRecord:
    """Give a proof of not having run while nothing was written.

    The connection marks the record before it hands the first byte to
    the socket, so that a failed write counts as written.
    """

    __slots__ = ("_is_written",)

    def __init__(self) -> None:
        self._is_written = False

    @property
    def is_written(self) -> bool:
        """Return whether a byte may have reached an upstream."""
        return self._is_written

    def mark_written(self) -> None:
        """Note that a byte is about to be written; never undone."""
        self._is_written = True

    def maybe_proof(self, stage: UnwrittenStage) -> NeverWritten | None:
        """Return the proof, or nothing once a byte was written."""
        if self._is_written:
            return None
        return NeverWritten(stage)
