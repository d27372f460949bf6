import random

import pytest

from rhubarbhollow_calls.claim import ClaimKey
from rhubarbhollow_calls.claim_decision import (
    AnswerEnd,
    ClaimEnd,
    NotRunEnd,
    RefuseClaim,
    ReplayAnswer,
    RunClaimed,
    UnknownEnd,
    decide_claim,
    settle_claim,
)
from rhubarbhollow_calls.claim_ledger import ClaimLedger
from rhubarbhollow_calls.claim_outcome import (
    AlreadyRunning,
    Answered,
    ClaimOutcome,
    KeyConflict,
    LedgerFull,
    NoSuchClaim,
    OutcomeUnknown,
    StoredAnswer,
)
from rhubarbhollow_calls.not_run_proof import (
    RefusedByUpstream,
    UpstreamSignal,
)
from rhubarbhollow_calls.refusal import Executed, RefusalKind


@pytest.mark.parametrize(
    ("outcome", "kind", "executed"),
    [
        (AlreadyRunning("n"), RefusalKind.ALREADY_RUNNING, Executed.UNKNOWN),
        (OutcomeUnknown(), RefusalKind.OUTCOME_UNKNOWN, Executed.UNKNOWN),
        (
            Answered(StoredAnswer(201, (), None)),
            RefusalKind.OUTCOME_UNKNOWN,
            Executed.UNKNOWN,
        ),
        (KeyConflict(), RefusalKind.KEY_CONFLICT, Executed.NO),
        (LedgerFull(), RefusalKind.CLAIM_UNAVAILABLE, Executed.NO),
        (NoSuchClaim(), RefusalKind.CLAIM_UNAVAILABLE, Executed.NO),
        (None, RefusalKind.CLAIM_UNAVAILABLE, Executed.NO),
    ],
)
def test_claim_outcomes_that_refuse_the_request(
    outcome: ClaimOutcome | None, kind: RefusalKind, executed: Executed
) -> None:
    decision = decide_claim(outcome)
    assert isinstance(decision, RefuseClaim)
    assert decision.refusal.kind is kind
    assert decision.refusal.executed is executed


def test_each_key_runs_once_when_outcomes_or_owners_are_lost() -> None:
    """Guard against a second run of a non-idempotent request.

    Outcomes of claims get lost, upstreams shed requests, connections
    are cut and owners die, while the same keys are sent again.
    """
    rng = random.Random(12)
    runs: dict[bytes, int] = {}
    ledger = ClaimLedger()
    for send in range(4000):
        number = rng.randrange(200)
        key = b"%d" % number
        claim = ClaimKey(key, key, f"n{rng.randrange(3)}", 1, send, 0)
        outcome = ledger.apply(claim)
        if rng.random() < 0.2:
            # The outcome is lost. The refusal must be true, and if the
            # claim exists, repeating the command finds it so that it
            # can be abandoned.
            decision = decide_claim(None)
            if rng.random() < 0.5:
                repeat = decide_claim(ledger.apply(claim))
                if isinstance(repeat, RunClaimed):
                    proof = decision.refusal.proof
                    end: ClaimEnd = NotRunEnd(proof)
                    ledger.apply(settle_claim(key, repeat.claim_id, end))
            continue
        decision = decide_claim(outcome)
        match decision:
            case RunClaimed(claim_id):
                result = rng.choice(["answered", "shed", "cut", "owner dies"])
                runs[key] = runs.get(key, 0) + (result != "shed")
                end = {
                    "answered": AnswerEnd(201, (), key),
                    "shed": NotRunEnd(RefusedByUpstream(UpstreamSignal.SHED)),
                }.get(result, UnknownEnd())
                if result != "owner dies":
                    ledger.apply(settle_claim(key, claim_id, end))
            case ReplayAnswer(answer):
                assert (answer.body, runs[key]) == (key, 1)
            case RefuseClaim(refusal):
                assert refusal.executed is Executed.UNKNOWN
    assert max(runs.values()) == 1
    assert sum(runs.values()) > 100
