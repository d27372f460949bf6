"""The whole state of a claim ledger at one point of the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_entry import ClaimEntry


@dataclass(frozen=True, slots=True)
class KeyedClaim:
    """Hold a claim under its key."""

    key: bytes
    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class ClaimSnapshot:
    """Hold all claims in the order in which they were made."""

    next_claim_id: int
    high_ms: int
    claims: tuple[KeyedClaim, ...]
