"""What the claim ledger answers to a command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import AnswerHeader


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Hold an answer for later sends of the same request.

    ``body`` is nothing, and there are no headers, if the answer was
    too large to be kept.
    """

    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None

    @property
    def stored_bytes(self) -> int:
        """Return the size of headers and body."""
        headers = sum(len(h.name) + len(h.value) for h in self.headers)
        return headers + len(self.body or b"")


@dataclass(frozen=True, slots=True)
class Claimed:
    """The sender, and no other, may run the request."""

    claim_id: int


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """Another send holds the claim; its outcome is not known yet."""

    owner_node: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran, and this was its answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was cut short; it may have run, once."""


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key was used with a request of another fingerprint."""


@dataclass(frozen=True, slots=True)
class LedgerFull:
    """There is no room for a claim; the request must not run."""


@dataclass(frozen=True, slots=True)
class Recorded:
    """The answer, the unknown outcome or the abandonment is kept."""


@dataclass(frozen=True, slots=True)
class NoSuchClaim:
    """The claim has expired, was abandoned or is another's."""


@dataclass(frozen=True, slots=True)
class Expired:
    """Claims were dropped."""

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
