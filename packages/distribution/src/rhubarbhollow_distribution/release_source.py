"""The interface through which a feed reads accepted releases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_distribution.stage import Stage


class ReleaseSource(Protocol):
    """Look up digests of accepted releases and build differences.

    An implementation should cache recently built differences, since
    many nodes hold the same base.
    """

    def maybe_digest(self, position: int) -> bytes | None:
        """Return the digest at ``position``, or ``None`` if unknown."""
        ...

    def build_stage(self, position: int, base_digest: bytes) -> Stage:
        """Return a stage message with the difference from the base.

        It carries the whole release if ``base_digest`` is not known.
        """
        ...
