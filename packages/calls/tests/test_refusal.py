import json

import pytest

from rhubarbhollow_calls.not_run_proof import (
    NeverWritten,
    RefusedByPeer,
    RefusedByUpstream,
    UnwrittenStage,
    UpstreamSignal,
)
from rhubarbhollow_calls.refusal import (
    Executed,
    ProofContradiction,
    Refusal,
    RefusalKind,
    maybe_refusal_kind,
    parse_executed,
    problem_bytes,
)

PROOFS = (
    NeverWritten(UnwrittenStage.QUEUED),
    RefusedByUpstream(UpstreamSignal.SHED),
    RefusedByPeer("node-2"),
)
MAY_HAVE_RUN = {RefusalKind.OUTCOME_UNKNOWN, RefusalKind.ALREADY_RUNNING}


@pytest.mark.parametrize("kind", RefusalKind)
def test_refusal_states_not_run_only_with_a_proof(kind: RefusalKind) -> None:
    unknown = Refusal.unknown(kind, "why")
    assert unknown.executed is Executed.UNKNOWN
    assert 400 <= unknown.status < 600
    for proof in PROOFS:
        if kind in MAY_HAVE_RUN:
            with pytest.raises(ProofContradiction):
                Refusal.not_run(kind, proof)
            continue
        refusal = Refusal.not_run(kind, proof)
        assert refusal.executed is Executed.NO
        assert refusal.executed.header_value == b"no"
    problem = json.loads(problem_bytes(unknown, "r-1"))
    assert problem["status"] == unknown.status
    assert problem["executed"] == "unknown"
    assert problem["type"].endswith(kind.value)
    assert problem["request_id"] == "r-1"
    assert maybe_refusal_kind(kind.value.encode()) is kind


def test_only_an_exact_no_means_not_run() -> None:
    assert parse_executed(b"no") is Executed.NO
    for value in (None, b"", b"No", b"no ", b"unknown", b"no, no"):
        assert parse_executed(value) is Executed.UNKNOWN
    for value in (b"", b"\xff", b"nonsense"):
        assert maybe_refusal_kind(value) is None
