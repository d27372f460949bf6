import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from rhubarbhollow_calls import claim_ledger
from rhubarbhollow_calls.claim import (
    AbandonClaim,
    AnswerHeader,
    ClaimCommand,
    ClaimKey,
    ExpireClaims,
    RecordUnknown,
    StoreAnswer,
)
from rhubarbhollow_calls.claim_codec import (
    ClaimCodecFault,
    ClaimFaultReason,
    decode_command,
    decode_outcome,
    decode_snapshot,
    encode_command,
    encode_outcome,
    encode_snapshot,
)
from rhubarbhollow_calls.claim_ledger import (
    MAX_ANSWER_BYTES,
    MAX_STEP_MS,
    RETENTION_MS,
    ClaimLedger,
)
from rhubarbhollow_calls.claim_outcome import (
    AlreadyRunning,
    Answered,
    Claimed,
    ClaimOutcome,
    Expired,
    KeyConflict,
    LedgerFull,
    NoSuchClaim,
    OutcomeUnknown,
    Recorded,
    StoredAnswer,
)
from rhubarbhollow_calls.not_run_proof import (
    NeverWritten,
    RefusedByPeer,
    RefusedByUpstream,
    UnwrittenStage,
    UpstreamSignal,
)

HEADERS = (AnswerHeader(b"content-type", b"a/b"), AnswerHeader(b"x", b"\xff"))
UNWRITTEN = NeverWritten(UnwrittenStage.CONNECTING)
FIRST = ClaimKey(b"k", b"f", "n1", 1, 1, 1000)
SECOND = replace(FIRST, owner_node="n2", attempt_id=9)
ANSWER = StoreAnswer(b"k", 1, 201, HEADERS, b"done")
STORED = StoredAnswer(201, HEADERS, b"done")
LARGEST = replace(ANSWER, headers=(), body=b"x" * MAX_ANSWER_BYTES)
ANSWERED_LARGEST = Answered(StoredAnswer(201, (), LARGEST.body))
# A claim is still kept after this many of the largest time steps.
STEPS = RETENTION_MS // MAX_STEP_MS


@pytest.mark.parametrize(
    "steps",
    [
        # A second attempt, through another node, never gets a claim.
        [(FIRST, Claimed(1)), (SECOND, AlreadyRunning("n1"))],
        [
            (FIRST, Claimed(1)),
            (ANSWER, Recorded()),
            (SECOND, Answered(STORED)),
        ],
        # The upstream crashed: the result stays unknown for both.
        [
            (FIRST, Claimed(1)),
            (RecordUnknown(b"k", 1), Recorded()),
            (SECOND, OutcomeUnknown()),
            (FIRST, OutcomeUnknown()),
            (AbandonClaim(b"k", 1, UNWRITTEN), NoSuchClaim()),
            (SECOND, OutcomeUnknown()),
            # An answer that arrives later replaces the unknown result.
            (ANSWER, Recorded()),
            (SECOND, Answered(STORED)),
        ],
        # After a lost outcome, only the same attempt gets the claim
        # again.
        [
            (FIRST, Claimed(1)),
            (FIRST, Claimed(1)),
            (replace(FIRST, attempt_id=2), AlreadyRunning("n1")),
            (replace(FIRST, owner_incarnation=2), AlreadyRunning("n1")),
        ],
        [
            (FIRST, Claimed(1)),
            (ANSWER, Recorded()),
            (replace(ANSWER, status=500), Recorded()),
            (RecordUnknown(b"k", 1), Recorded()),
            (AbandonClaim(b"k", 1, UNWRITTEN), NoSuchClaim()),
            (FIRST, Answered(STORED)),
        ],
        [
            (FIRST, Claimed(1)),
            (replace(SECOND, fingerprint=b"g"), KeyConflict()),
        ],
        # After proof that the request did not run, another attempt can
        # claim the key, and the old claim is invalid.
        [
            (FIRST, Claimed(1)),
            (AbandonClaim(b"k", 1, UNWRITTEN), Recorded()),
            (SECOND, Claimed(2)),
            (ANSWER, NoSuchClaim()),
            (RecordUnknown(b"k", 1), NoSuchClaim()),
            (AbandonClaim(b"k", 1, UNWRITTEN), NoSuchClaim()),
            (FIRST, AlreadyRunning("n2")),
        ],
        # An answer that is too large is dropped, but the ledger records
        # that the request ran.
        [
            (FIRST, Claimed(1)),
            (replace(ANSWER, body=b"x" * (MAX_ANSWER_BYTES + 1)), Recorded()),
            (SECOND, Answered(StoredAnswer(201, (), None))),
        ],
        [
            (FIRST, Claimed(1)),
            (LARGEST, Recorded()),
            (SECOND, ANSWERED_LARGEST),
        ],
        # Expiry removes the answer and its bytes with the claim.
        [
            (FIRST, Claimed(1)),
            (ANSWER, Recorded()),
            *[(ExpireClaims(10**15), Expired(0))] * STEPS,
            (ExpireClaims(10**15), Expired(1)),
            (SECOND, Claimed(2)),
        ],
        # A leader whose clock is far ahead cannot expire claims
        # at once.
        [
            (FIRST, Claimed(1)),
            (replace(FIRST, key=b"l", claimed_at_ms=10**15), Claimed(2)),
            *[(ExpireClaims(10**15), Expired(0))] * STEPS,
            (SECOND, AlreadyRunning("n1")),
            (ExpireClaims(0), Expired(0)),
            (ExpireClaims(10**15), Expired(2)),
            (ANSWER, NoSuchClaim()),
            (replace(SECOND, claimed_at_ms=5), Claimed(3)),
            (ExpireClaims(6), Expired(0)),
        ],
    ],
)
def test_command_sequences_have_the_expected_outcomes(
    steps: list[tuple[ClaimCommand, ClaimOutcome]],
) -> None:
    ledger = ClaimLedger()
    for command, outcome in steps:
        # Encoded and decoded, as it is read from the log.
        assert ledger.apply(encode_and_decode(command)) == outcome
        assert decode_outcome(encode_outcome(outcome)).unwrap() == outcome
        ledger.check()


def encode_and_decode(command: ClaimCommand) -> ClaimCommand:
    decoded = decode_command(encode_command(command)).unwrap()
    assert decoded == command
    return decoded


def test_full_ledger_refuses_and_keeps_its_claims(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_ledger, "MAX_CLAIMS", 2)
    monkeypatch.setattr(claim_ledger, "MAX_STORED_BYTES", 8)
    ledger = ClaimLedger()
    keys = [replace(FIRST, key=b"%d" % index) for index in range(3)]
    outcomes = [ledger.apply(key) for key in keys]
    assert outcomes == [Claimed(1), Claimed(2), LedgerFull()]
    for claim_id in (1, 2):
        key = b"%d" % (claim_id - 1)
        ledger.apply(StoreAnswer(key, claim_id, 200, (), b"12345678"))
    assert ledger.stored_bytes == 8
    assert ledger.apply(keys[1]) == Answered(StoredAnswer(200, (), None))
    ledger.apply(AbandonClaim(b"0", 1, UNWRITTEN))
    assert ledger.apply(keys[2]) == LedgerFull()


class LedgerMachine(RuleBasedStateMachine):
    """Compare ledger and restarted replica with a plain dictionary."""

    keys = st.sampled_from([b"a", b"b", b"c"])

    @initialize()
    def begin(self) -> None:
        self.ledger = ClaimLedger()
        self.replica = ClaimLedger()
        self.now_ms = self.high_ms = 0
        self.attempts = 0
        # Maps keys to claim ID, fingerprint, state and time of claim.
        self.model: dict[bytes, tuple[int, bytes, str, int]] = {}
        self.claim_ids: list[int] = [0]

    def apply(self, command: ClaimCommand) -> ClaimOutcome:
        outcome = self.ledger.apply(command)
        assert self.replica.apply(encode_and_decode(command)) == outcome
        return outcome

    @rule(key=keys, fingerprint=st.sampled_from([b"f", b"f", b"g"]))
    def claim(self, key: bytes, fingerprint: bytes) -> None:
        self.attempts += 1
        command = ClaimKey(
            key, fingerprint, "n", 1, self.attempts, self.now_ms
        )
        outcome = self.apply(command)
        if key not in self.model:
            assert outcome == Claimed(max(self.claim_ids) + 1)
            self.claim_ids.append(max(self.claim_ids) + 1)
            if not self.model:
                self.high_ms = self.now_ms
            at = self.high_ms
            self.model[key] = (self.claim_ids[-1], fingerprint, "runs", at)
            return
        _, known, state, _ = self.model[key]
        expected = {
            "runs": AlreadyRunning("n"),
            "unknown": OutcomeUnknown(),
            "answered": Answered(StoredAnswer(200, (), key)),
        }[state]
        assert outcome == (expected if known == fingerprint else KeyConflict())

    @rule(key=keys, back=st.integers(0, 2), what=st.sampled_from("sua"))
    def settle(self, key: bytes, back: int, what: str) -> None:
        claim_id = self.claim_ids[-1 - back % len(self.claim_ids)]
        is_held = key in self.model and self.model[key][0] == claim_id
        state = self.model[key][2] if is_held else ""
        if what == "s":
            outcome = self.apply(StoreAnswer(key, claim_id, 200, (), key))
            after = "answered"
        elif what == "u":
            outcome = self.apply(RecordUnknown(key, claim_id))
            after = "answered" if state == "answered" else "unknown"
        else:
            outcome = self.apply(AbandonClaim(key, claim_id, UNWRITTEN))
            is_held = state == "runs"
            after = ""
        assert outcome == (Recorded() if is_held else NoSuchClaim())
        if is_held:
            number, known, _, at = self.model.pop(key)
            if after:
                self.model[key] = (number, known, after, at)

    @rule(step=st.sampled_from([-5000, 1000, RETENTION_MS // 2, RETENTION_MS]))
    def move_time(self, step: int) -> None:
        self.now_ms = max(0, self.now_ms + step)

    @rule(times=st.sampled_from([1, STEPS // 2]))
    def expire(self, times: int) -> None:
        before = self.now_ms - RETENTION_MS
        for _ in range(times):
            if self.now_ms > self.high_ms:
                step = min(self.now_ms - self.high_ms, MAX_STEP_MS)
                self.high_ms += step
            limit = min(before, self.high_ms - RETENTION_MS)
            gone = [k for k, entry in self.model.items() if entry[3] < limit]
            assert self.apply(ExpireClaims(before)) == Expired(len(gone))
            for key in gone:
                del self.model[key]

    @rule()
    def restart_replica(self) -> None:
        data = encode_snapshot(self.replica.snapshot())
        snapshot = decode_snapshot(data).unwrap()
        self.replica = ClaimLedger.restore(snapshot)

    @invariant()
    def replicas_agree(self) -> None:
        self.ledger.check()
        self.replica.check()
        assert self.ledger.snapshot() == self.replica.snapshot()
        assert self.ledger.claims == len(self.model)
        assert self.ledger.high_ms == self.high_ms


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


@pytest.mark.parametrize(
    "proof",
    [
        UNWRITTEN,
        RefusedByUpstream(UpstreamSignal.DRAINING),
        RefusedByPeer("node-é"),
    ],
)
def test_proofs_survive_encoding_and_decoding(
    proof: NeverWritten | RefusedByUpstream | RefusedByPeer,
) -> None:
    encode_and_decode(AbandonClaim(b"\x00\xff", 2**62, proof))


def test_malformed_bytes_decode_to_typed_faults() -> None:
    rng = random.Random(4)
    whole = encode_command(ANSWER)
    decoders = (decode_command, decode_outcome, decode_snapshot)
    for _ in range(3000):
        data = bytearray(whole[: rng.randint(0, len(whole))])
        for _ in range(rng.randint(0, 3)):
            data.insert(rng.randint(0, len(data)), rng.randrange(256))
        for decode in decoders:
            decoded = decode(bytes(data))
            if decoded.is_err():
                assert isinstance(decoded.unwrap_err(), ClaimCodecFault)
    cases = {
        encode_outcome(Recorded()): ClaimFaultReason.UNKNOWN_KIND,
        b"\x00": ClaimFaultReason.INCOMPLETE,
        b"": ClaimFaultReason.UNREADABLE,
        bytes(2**20 + 1): ClaimFaultReason.TOO_LARGE,
    }
    for data, reason in cases.items():
        assert decode_command(data).unwrap_err() == ClaimCodecFault(reason)


def test_each_key_runs_once_in_a_long_run_with_restarts() -> None:
    """Guard against a second run of a key after abandoned claims."""
    rng = random.Random(8)
    ledger = ClaimLedger()
    runs: dict[bytes, int] = {}
    open_claims: list[tuple[bytes, int, bool]] = []
    for attempt in range(20_000):
        key = b"%d" % rng.randrange(500)
        node = f"n{rng.randrange(5)}"
        command = ClaimKey(key, key, node, 1, attempt, attempt)
        outcome = ledger.apply(command)
        if isinstance(outcome, Claimed):
            # One request in three is refused before it runs.
            is_run = rng.random() < 2 / 3
            runs[key] = runs.get(key, 0) + is_run
            open_claims.append((key, outcome.claim_id, is_run))
        if open_claims and rng.random() < 0.5:
            key, claim_id, is_run = open_claims.pop(
                rng.randrange(len(open_claims))
            )
            if not is_run:
                ledger.apply(AbandonClaim(key, claim_id, UNWRITTEN))
            elif rng.random() < 0.5:
                ledger.apply(StoreAnswer(key, claim_id, 200, (), key))
        if attempt % 500 == 0:
            ledger.check()
            ledger = ClaimLedger.restore(ledger.snapshot())
    assert set(runs.values()) == {1}
