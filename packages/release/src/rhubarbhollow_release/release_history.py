"""The latest releases, whose content is retained."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.release import Release
    from rhubarbhollow_release.retained_release import RetainedRelease

MAX_PAST_RELEASES: Final = 64


class ReleaseHistory:
    """Store consecutive releases, up to the latest one."""

    def __init__(self, releases: Iterable[RetainedRelease]) -> None:
        # Ordered by position, since dictionaries keep insertion order.
        self._releases = {each.release.position: each for each in releases}

    @property
    def releases(self) -> tuple[RetainedRelease, ...]:
        """Return the retained releases, oldest first."""
        return tuple(self._releases.values())

    @property
    def latest_position(self) -> int:
        """Return the latest position, or 0 before the first release."""
        return next(reversed(self._releases), 0)

    def find(self, position: int) -> Release | None:
        """Return a release, or ``None`` if it is not retained."""
        retained = self._releases.get(position)
        return retained.release if retained else None

    def add(self, retained: RetainedRelease) -> None:
        """Append the next release."""
        self._releases[retained.release.position] = retained

    def prune(self, active_position: int) -> None:
        """Drop old releases.

        The active release and all later ones are retained, as are the
        latest release and the ``MAX_PAST_RELEASES`` before it.
        """
        oldest = min(
            active_position,
            self.latest_position - MAX_PAST_RELEASES,
        )
        for position in tuple(self._releases):
            if position >= oldest:
                return
            del self._releases[position]
