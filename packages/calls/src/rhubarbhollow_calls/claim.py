"""Commands of the claim ledger, as the quorum log carries them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_calls.not_run_proof import NotRunProof


@dataclass(frozen=True, slots=True)
class AnswerHeader:
    """Hold one header line of a stored answer."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Ask to be the one that runs the request with this key.

    ``attempt_id`` is unique among the claims of one incarnation of the
    owner. A command that is proposed again after a lost answer has the
    same one and gets the same claim; another call of the same owner
    has another one and does not. ``claimed_at_ms`` is stamped by the
    leader, in milliseconds of UTC since 1970; it counts only for the
    first claim of an empty ledger, which has no time of its own.
    """

    key: bytes
    fingerprint: bytes
    owner_node: str
    owner_incarnation: int
    attempt_id: int
    claimed_at_ms: int


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Keep the answer to a claimed request.

    ``body`` is nothing if it was too large to be kept.
    """

    key: bytes
    claim_id: int
    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """State that a claimed request was cut short and may have run."""

    key: bytes
    claim_id: int


@dataclass(frozen=True, slots=True)
class AbandonClaim:
    """Give up a claim whose request provably did not run."""

    key: bytes
    claim_id: int
    proof: NotRunProof


@dataclass(frozen=True, slots=True)
class ExpireClaims:
    """Drop claims made before a time that the leader stamped.

    The leader sends its own time less the retention; the ledger's time
    follows that in bounded steps.
    """

    before_ms: int


ClaimCommand: TypeAlias = (
    ClaimKey | StoreAnswer | RecordUnknown | AbandonClaim | ExpireClaims
)
