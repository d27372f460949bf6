"""Incremental reader of the events in a process log."""

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
    """Hold a logged event; ``at`` is in seconds since the epoch.

    ``position`` is 0 for an event without that field.
    """

    name: str
    at: float
    position: int


class LogReader:
    """Cache the events of a log and read only what was appended."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0
        self._partial_line = ""
        self._events: list[LogEvent] = []

    def read(self) -> list[LogEvent]:
        """Return all events so far in the order of the log."""
        if not self._path.exists():
            return self._events
        with self._path.open("rb") as log:
            log.seek(self._offset)
            appended = log.read()
        self._offset += len(appended)
        *lines, self._partial_line = (
            self._partial_line + appended.decode()
        ).split("\n")
        self._events.extend(_parse(lines))
        return self._events

    def first_time_in_force(self, position: int, since: float = 0.0) -> float:
        """Return the first time at or after ``since`` of a position.

        A later position counts as well. The result is infinity if none
        has been in force.
        """
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

    def first_time(self, name: str, since: float) -> float:
        """Return the first time of an event, or infinity if none."""
        return min(
            (
                event.at
                for event in self.read()
                if event.name == name and event.at >= since
            ),
            default=float("inf"),
        )

    def has_position_regressed(self) -> bool:
        """Return whether a release in force was followed by a lower."""
        positions = [
            event.position
            for event in self.read()
            if event.name == "release_in_force"
        ]
        return positions != sorted(positions)


def _parse(lines: list[str]) -> Iterator[LogEvent]:
    for line in lines:
        match = _EVENT.match(line)
        if match is not None:
            yield LogEvent(
                match["name"],
                datetime.fromisoformat(match["time"]).timestamp(),
                int(match["position"] or 0),
            )
