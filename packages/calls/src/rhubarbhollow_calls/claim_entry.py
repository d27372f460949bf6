"""A claim as stored in the ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_outcome import StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A claim and, once known, the result of its request.

    The request is still running if ``answer`` is ``None`` and
    ``is_unknown`` is false.
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
        """Return whether the request has no recorded result yet."""
        return self.answer is None and not self.is_unknown

    @property
    def answer_bytes(self) -> int:
        """Return the size of the stored response, 0 without one."""
        return 0 if self.answer is None else self.answer.stored_bytes
