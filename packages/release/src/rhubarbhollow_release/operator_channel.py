"""The trust anchor for releases approved before submission."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# This identifies only the channel: finding a key whose identifier, the
# first 128 bits of its SHA-256, is all zeros is infeasible.
CHANNEL_KEY_ID: Final = "0" * 32


@dataclass(frozen=True, slots=True)
class OperatorChannel:
    """Represent the operator channel among the trusted keys.

    Where releases are signed off before a manifest reaches the mesh, a
    submission by an operator counts as approved.  Only processes whose
    settings trust the channel accept such a release.
    """
