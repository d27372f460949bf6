"""Commands of the claim ledger, as stored in the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.not_run_proof import NotRunProof


@dataclass(frozen=True, slots=True)
class AnswerHeader:
    """One header field of a stored response."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim the exclusive right to run the request with this key.

    ``attempt_id`` is unique among the claims of one incarnation of the
    owner. A command that is proposed again because its outcome was
    lost has the same ID and gets the same claim; another call of the
    same owner has another ID and does not. ``claimed_at_ms`` is set by
    the leader, in milliseconds since the Unix epoch; it is used only
    for the first claim of an empty ledger, which has no time of its
    own.
    """

    key: bytes
    fingerprint: bytes
    owner_node: str
    owner_incarnation: int
    attempt_id: int
    claimed_at_ms: int


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Store the response to a claimed request.

    ``body`` is ``None`` if it was too large to store.
    """

    key: bytes
    claim_id: int
    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """Record that a claimed request was cut short but may have run."""

    key: bytes
    claim_id: int


@dataclass(frozen=True, slots=True)
class AbandonClaim:
    """Give up a claim whose request is proven not to have run."""

    key: bytes
    claim_id: int
    proof: NotRunProof


@dataclass(frozen=True, slots=True)
class ExpireClaims:
    """Remove the claims that were made before ``before_ms``.

    The leader sends its own time minus the retention period, in
    milliseconds since the Unix epoch; the ledger's time follows in
    bounded steps.
    """

    before_ms: int


ClaimCommand: TypeAlias = (
    ClaimKey | StoreAnswer | RecordUnknown | AbandonClaim | ExpireClaims
)
