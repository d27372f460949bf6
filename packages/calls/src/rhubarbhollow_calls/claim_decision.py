"""What a node does with the outcome of a claim, and with its end."""

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
    """Run the request; its end has to be settled under the claim."""

    claim_id: int


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Send the answer that the request got when it ran."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class RefuseClaim:
    """Refuse the request without running it."""

    refusal: Refusal


ClaimDecision: TypeAlias = RunClaimed | ReplayAnswer | RefuseClaim


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """A claimed request was answered; a large body is left out."""

    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class NotRunEnd:
    """A claimed request provably did not run and is not retried."""

    proof: NotRunProof


@dataclass(frozen=True, slots=True)
class UnknownEnd:
    """A claimed request was cut short after it may have run."""


ClaimEnd: TypeAlias = AnswerEnd | NotRunEnd | UnknownEnd


def decide_claim(outcome: ClaimOutcome | None) -> ClaimDecision:
    """Decide by the ledger's answer; nothing means none came in time.

    A claim whose answer is lost may stand. The refusal says "not run",
    which is true; the node goes on to propose the claim until it is
    answered, and then abandons it, so that the caller's next send is
    not taken for a repeat.
    """
    match outcome:
        case Claimed(claim_id):
            return RunClaimed(claim_id)
        case Answered(answer) if answer.body is not None:
            return ReplayAnswer(answer)
        case Answered(answer):
            detail = f"it ran, status {answer.status}, answer not kept"
            return _refuse_unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        case AlreadyRunning(owner):
            detail = f"an earlier send runs through {owner}"
            return _refuse_unknown(RefusalKind.ALREADY_RUNNING, detail)
        case OutcomeUnknown():
            detail = "an earlier send was cut short and may have run"
            return _refuse_unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        case KeyConflict():
            detail = "the key was used with another request"
            return _refuse_not_run(RefusalKind.KEY_CONFLICT, detail)
        case _:
            detail = "the request could not be claimed"
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
