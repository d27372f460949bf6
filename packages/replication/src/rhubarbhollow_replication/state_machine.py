"""Interface of the replicated state machine."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine driven by the log.

    Every replica applies the same commands in the same order and so
    reaches the same state.
    """

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a command and return its outcome."""
        ...

    def snapshot(self) -> bytes:
        """Return the complete state, serialized."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the complete state with that of a snapshot."""
        ...
