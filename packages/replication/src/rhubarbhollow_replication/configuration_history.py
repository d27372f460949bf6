"""History of the configurations contained in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_replication.configuration import Configuration


class ConfigurationHistory:
    """The configurations of the log, each with its entry's index.

    A configuration is in force as soon as its entry is in the log, so
    truncating an uncommitted entry restores the previous one.
    """

    def __init__(self, index: int, configuration: Configuration) -> None:
        self._history = [(index, configuration)]

    @property
    def current(self) -> Configuration:
        """The configuration of the newest CONFIG entry."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """The index of the newest CONFIG entry."""
        return self._history[-1][0]

    def at(self, index: int) -> Configuration:
        """Return the configuration in force at ``index``."""
        return next(c for i, c in reversed(self._history) if i <= index)

    def add(self, index: int, configuration: Configuration) -> None:
        """Add a newer configuration, which takes effect at once."""
        self._history.append((index, configuration))

    def truncate_from(self, index: int) -> None:
        """Remove the configurations from ``index`` on."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()

    def compact(self, index: int) -> None:
        """Remove configurations superseded at or before ``index``."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)
