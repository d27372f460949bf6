"""Trust in the channel by which an operator submits a release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# no digest of a key has this value, so it names the channel alone
CHANNEL_KEY_ID: Final = "0" * 32


@dataclass(frozen=True, slots=True)
class OperatorChannel:
    """Stand in a set of trusted keys for the operators' channel.

    Where sign-off happens before a manifest reaches the mesh, what an
    operator submits counts as approved.  Only processes whose settings
    trust the channel accept such a release.
    """
