"""A release as the ledger keeps it."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from rhubarbhollow_release.difference import diff_resources
from rhubarbhollow_release.difference_codec import encode_difference

if TYPE_CHECKING:
    from rhubarbhollow_release.release import Release


@dataclass(frozen=True)
class KeptRelease:
    """Hold a release with the bytes that snapshots are joined from.

    ``change`` is the encoded difference from the release before it, as
    it was submitted.
    """

    release: Release
    change: bytes

    @cached_property
    def whole(self) -> bytes:
        """Return the encoded difference from nothing."""
        return encode_difference(diff_resources(None, self.release.resources))
