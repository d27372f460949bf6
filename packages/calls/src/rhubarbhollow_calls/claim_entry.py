"""One claim as the ledger keeps it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_outcome import StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """Hold a claim and, once it is known, how its request ended.

    Neither an answer nor ``is_unknown`` means that it still runs.
    """

    claim_id: int
    fingerprint: bytes
    owner_node: str
    owner_incarnation: int
    attempt_id: int
    claimed_at_ms: int
    answer: StoredAnswer | None
    is_unknown: bool

    @property
    def is_running(self) -> bool:
        """Return whether the end of the request is still open."""
        return self.answer is None and not self.is_unknown

    @property
    def answer_bytes(self) -> int:
        """Return the size of the stored answer."""
        return 0 if self.answer is None else self.answer.stored_bytes
