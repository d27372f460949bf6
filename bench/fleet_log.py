"""Events of one process, read from its log as it grows."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

_EVENT: Final = re.compile(
    r"timestamp=(?P<time>\S+) .*?event=(?P<name>\w+)"
    r"(?:.*? position=(?P<position>\d+))?"
)


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Hold one event; ``at`` is in seconds since the epoch."""

    name: str
    at: float
    position: int


class LogReader:
    """Keep the events of a log, reading only what was added."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0
        self._rest = ""
        self._events: list[LogEvent] = []

    def read(self) -> list[LogEvent]:
        """Return every event so far, in the order of the log."""
        if not self._path.exists():
            return self._events
        with self._path.open("rb") as log:
            log.seek(self._offset)
            added = log.read()
        self._offset += len(added)
        *lines, self._rest = (self._rest + added.decode()).split("\n")
        self._events.extend(_parse(lines))
        return self._events

    def first_in_force(self, position: int, since: float = 0.0) -> float:
        """Return when a position was first in force, or infinity."""
        return min(
            (
                event.at
                for event in self.read()
                if event.name == "release_in_force"
                and event.position >= position
                and event.at >= since
            ),
            default=float("inf"),
        )

    def first(self, name: str, since: float) -> float:
        """Return when an event was first seen, or infinity."""
        return min(
            (
                event.at
                for event in self.read()
                if event.name == name and event.at >= since
            ),
            default=float("inf"),
        )

    def went_back(self) -> bool:
        """Return whether any later release in force was a lower one."""
        positions = [
            event.position
            for event in self.read()
            if event.name == "release_in_force"
        ]
        return positions != sorted(positions)


def _parse(lines: list[str]) -> Iterator[LogEvent]:
    for line in lines:
        found = _EVENT.match(line)
        if found is not None:
            yield LogEvent(
                found["name"],
                datetime.fromisoformat(found["time"]).timestamp(),
                int(found["position"] or 0),
            )
