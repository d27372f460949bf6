"""Construction of the stages that a control instance offers nodes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.stage_encoding import build_stage
from rhubarbhollow_release.difference import EMPTY_DIGEST

if TYPE_CHECKING:
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_distribution.stage import Stage
    from rhubarbhollow_release.resource_set import ResourceSet

MAX_CACHED_STAGES: Final = 32


class UnknownPositionError(Exception):
    """A stage was requested for a release that is not retained."""


class StageBuilder:
    """Build and cache net differences between releases of the ledger.

    The nodes of a fleet hold few different bases at a time, so a small
    cache avoids nearly all of the work.
    """

    def __init__(self, machine: ReleaseMachine) -> None:
        self._machine = machine
        self._cache: OrderedDict[tuple[int, bytes], Stage] = OrderedDict()

    def maybe_digest(self, position: int) -> bytes | None:
        """Return the digest at ``position``, or ``None`` if unknown."""
        release = self._machine.ledger.release_at(position)
        return release.resources.digest if release else None

    def build_stage(self, position: int, base_digest: bytes) -> Stage:
        """Return the stage from ``base_digest`` to ``position``.

        For an unknown base it is the difference from the empty set.
        Raises ``UnknownPositionError`` if the release is no longer
        retained.
        """
        key = (position, base_digest)
        stage = self._cache.get(key)
        if stage is None:
            stage = self._build(position, base_digest)
            self._cache[key] = stage
            if len(self._cache) > MAX_CACHED_STAGES:
                self._cache.popitem(last=False)
        return stage

    def _build(self, position: int, base_digest: bytes) -> Stage:
        release = self._machine.ledger.release_at(position)
        if release is None:
            raise UnknownPositionError(
                f"no release is retained at position {position}"
            )
        base = self._find_base(base_digest)
        return build_stage(
            release.position,
            release.approval,
            release.resources,
            base,
        )

    def _find_base(self, digest: bytes) -> ResourceSet | None:
        if digest in (b"", EMPTY_DIGEST):
            return None
        ledger = self._machine.ledger
        releases = (
            ledger.release_at(position)
            for position in range(ledger.latest_position, 0, -1)
        )
        for release in releases:
            if release is None:
                return None
            if release.resources.digest == digest:
                return release.resources
        return None
