"""The record that a case writes: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Write a line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    @property
    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
