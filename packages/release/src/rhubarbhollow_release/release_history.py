"""The releases whose content is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.kept_release import KeptRelease
    from rhubarbhollow_release.release import Release

MAX_PAST_RELEASES: Final = 64


class ReleaseHistory:
    """Keep releases without a gap, up to the latest."""

    def __init__(self, kept: Iterable[KeptRelease]) -> None:
        # rises by position, since dictionaries keep their order
        self._kept = {each.release.position: each for each in kept}

    @property
    def kept(self) -> tuple[KeptRelease, ...]:
        """Return what is kept, the oldest first."""
        return tuple(self._kept.values())

    @property
    def latest_position(self) -> int:
        """Return the latest release's position, 0 before the first."""
        return next(reversed(self._kept), 0)

    def find(self, position: int) -> Release | None:
        """Return the release at a position while it is kept."""
        kept = self._kept.get(position)
        return kept.release if kept else None

    def add(self, kept: KeptRelease) -> None:
        """Take the next release."""
        self._kept[kept.release.position] = kept

    def forget(self, active_position: int) -> None:
        """Keep what waits for its activation, and some of the past."""
        oldest = min(
            active_position,
            self.latest_position - MAX_PAST_RELEASES,
        )
        for position in tuple(self._kept):
            if position >= oldest:
                return
            del self._kept[position]
