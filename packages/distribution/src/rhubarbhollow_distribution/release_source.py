"""Where a feed finds the releases that it offers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_distribution.stage import Stage


class ReleaseSource(Protocol):
    """Give the digests of accepted releases and build differences.

    An implementation keeps the differences that it built lately, since
    many nodes hold the same base.
    """

    def maybe_digest(self, position: int) -> bytes | None:
        """Return the digest at ``position``, or none if unknown."""
        ...

    def build_stage(self, position: int, base_digest: bytes) -> Stage:
        """Return the net difference from ``base_digest``.

        A base that is not known here gives the whole release.
        """
        ...
