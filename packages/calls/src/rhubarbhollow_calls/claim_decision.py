"""How a node acts on a claim's outcome and settles the claim."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeAlias

from rhubarbhollow_calls.claim import (
    AbandonClaim,
    AnswerHeader,
    ClaimCommand,
    RecordUnknown,
    StoreAnswer,
)
from rhubarbhollow_calls.claim_outcome import (
    AlreadyRunning,
    Answered,
    Claimed,
    ClaimOutcome,
    KeyConflict,
    OutcomeUnknown,
    StoredAnswer,
)
from rhubarbhollow_calls.not_run_proof import (
    NeverWritten,
    NotRunProof,
    UnwrittenStage,
)
from rhubarbhollow_calls.refusal import Refusal, RefusalKind

_UNCLAIMED: Final = NeverWritten(UnwrittenStage.CLAIMING)


@dataclass(frozen=True, slots=True)
class RunClaimed:
    """Run the request, then settle the claim with its result."""

    claim_id: int


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Send the response that was stored when the request ran."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class RefuseClaim:
    """Refuse the request without running it."""

    refusal: Refusal


ClaimDecision: TypeAlias = RunClaimed | ReplayAnswer | RefuseClaim


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """A claimed request got a response.

    ``body`` is ``None`` if it is too large to store.
    """

    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class NotRunEnd:
    """A claimed request provably did not run and is not retried."""

    proof: NotRunProof


@dataclass(frozen=True, slots=True)
class UnknownEnd:
    """A claimed request was interrupted after it may have run."""


ClaimEnd: TypeAlias = AnswerEnd | NotRunEnd | UnknownEnd


def decide_claim(outcome: ClaimOutcome | None) -> ClaimDecision:
    """Decide how to handle a request from the outcome of its claim.

    ``outcome`` is ``None`` if none arrived in time. The claim may
    exist even so. The refusal states that the request did not run,
    which is true; the node keeps proposing the claim until it gets the
    outcome and then abandons the claim, so that the caller's next
    attempt is not treated as a duplicate.
    """
    match outcome:
        case Claimed(claim_id):
            return RunClaimed(claim_id)
        case Answered(answer) if answer.body is not None:
            return ReplayAnswer(answer)
        case Answered(answer):
            detail = (
                f"the request already ran with status {answer.status}, but"
                " its response was not stored"
            )
            return _refuse_unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        case AlreadyRunning(owner):
            detail = (
                "an earlier request with this key is still running through"
                f" node {owner}"
            )
            return _refuse_unknown(RefusalKind.ALREADY_RUNNING, detail)
        case OutcomeUnknown():
            detail = (
                "an earlier request with this key was interrupted and may"
                " have run"
            )
            return _refuse_unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        case KeyConflict():
            detail = "the key was already used for a different request"
            return _refuse_not_run(RefusalKind.KEY_CONFLICT, detail)
        case _:
            detail = (
                "the request could not be claimed: the claim ledger is full"
                " or did not respond in time"
            )
            return _refuse_not_run(RefusalKind.CLAIM_UNAVAILABLE, detail)


def settle_claim(key: bytes, claim_id: int, end: ClaimEnd) -> ClaimCommand:
    """Return the command that records how a claimed request ended."""
    match end:
        case AnswerEnd(status, headers, body):
            return StoreAnswer(key, claim_id, status, headers, body)
        case NotRunEnd(proof):
            return AbandonClaim(key, claim_id, proof)
        case UnknownEnd():
            return RecordUnknown(key, claim_id)


def _refuse_unknown(kind: RefusalKind, detail: str) -> RefuseClaim:
    return RefuseClaim(Refusal.unknown(kind, detail))


def _refuse_not_run(kind: RefusalKind, detail: str) -> RefuseClaim:
    return RefuseClaim(Refusal.not_run(kind, _UNCLAIMED, detail))
