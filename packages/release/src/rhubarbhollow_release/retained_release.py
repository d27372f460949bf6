"""A release with its encoded difference, as the ledger stores it."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from rhubarbhollow_release.difference import diff_resources
from rhubarbhollow_release.difference_codec import encode_difference

if TYPE_CHECKING:
    from rhubarbhollow_release.release import Release


@dataclass(frozen=True)
class RetainedRelease:
    """Store a release with the encoded forms that snapshots contain.

    ``difference`` is the encoded difference from the preceding release,
    as it was submitted.
    """

    release: Release
    difference: bytes = field(repr=False)

    @cached_property
    def full_difference(self) -> bytes:
        """Return the encoded difference from an empty resource set."""
        return encode_difference(diff_resources(None, self.release.resources))
