"""Outcomes of the commands of the claim ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import AnswerHeader


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Response that is replayed when the same request is repeated.

    If it was too large to store, ``body`` is ``None`` and ``headers``
    is empty.
    """

    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None

    @property
    def stored_bytes(self) -> int:
        """Return the size of headers and body in bytes."""
        headers = sum(len(h.name) + len(h.value) for h in self.headers)
        return headers + len(self.body or b"")


@dataclass(frozen=True, slots=True)
class Claimed:
    """The proposing attempt, and no other, may run the request."""

    claim_id: int


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """Another attempt holds the claim and has no result yet."""

    owner_node: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The request has run and got this response."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was interrupted and may have run once."""


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key was used for a request with another fingerprint."""


@dataclass(frozen=True, slots=True)
class LedgerFull:
    """The ledger has no room for a claim; the request must not run."""


@dataclass(frozen=True, slots=True)
class Recorded:
    """The response, unknown result or abandonment was recorded."""


@dataclass(frozen=True, slots=True)
class NoSuchClaim:
    """The claim has expired, or was abandoned or replaced.

    The abandonment of a claim that already has a result gets this
    outcome as well.
    """


@dataclass(frozen=True, slots=True)
class Expired:
    """Expired claims were removed; ``count`` is their number."""

    count: int


ClaimOutcome: TypeAlias = (
    Claimed
    | AlreadyRunning
    | Answered
    | OutcomeUnknown
    | KeyConflict
    | LedgerFull
    | Recorded
    | NoSuchClaim
    | Expired
)
