"""Whole state of a claim ledger at one index of the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_entry import ClaimEntry


@dataclass(frozen=True, slots=True)
class KeyedClaim:
    """A claim with its key."""

    key: bytes
    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class ClaimSnapshot:
    """All claims in the order in which they were made.

    ``high_ms`` is the ledger's time in milliseconds since the Unix
    epoch.
    """

    next_claim_id: int
    high_ms: int
    claims: tuple[KeyedClaim, ...]
