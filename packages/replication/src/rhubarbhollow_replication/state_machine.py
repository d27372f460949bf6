"""The state machine that the log drives."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Apply commands in log order; every replica ends up the same."""

    def apply(self, index: int, payload: bytes) -> object:
        """Apply one command and return its typed outcome."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot's."""
        ...
