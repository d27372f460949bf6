"""Who may run a non-idempotent request, as a replicated state.

The ledger is applied from the quorum log on every replica, so that it
uses no clock, no randomness and no setting that may differ between
replicas. Times are stamped by the leader into the commands.

A claim expires ``RETENTION_MS`` after it was made, whatever became of
it: a caller must not send a key again after that. Time here is that of
the ledger: it never goes back, and only the leader's expiry command
moves it, by ``MAX_STEP_MS`` at most. So a leader whose clock is wrong
by hours cannot expire at once what was claimed a minute ago: with a
command each minute, claims are kept for half the retention at least.
A ledger without claims takes any time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import Final

from rhubarbhollow_calls.claim import (
    AbandonClaim,
    ClaimCommand,
    ClaimKey,
    ExpireClaims,
    RecordUnknown,
    StoreAnswer,
)
from rhubarbhollow_calls.claim_entry import ClaimEntry
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
from rhubarbhollow_calls.claim_snapshot import ClaimSnapshot, KeyedClaim
from rhubarbhollow_calls.invariant import InvariantViolation

RETENTION_MS: Final = 24 * 60 * 60 * 1000
# twice the interval at which a leader expires claims
MAX_STEP_MS: Final = 2 * 60 * 1000
MAX_CLAIMS: Final = 100_000
MAX_ANSWER_BYTES: Final = 64 * 1024
MAX_STORED_BYTES: Final = 16 * 1024 * 1024


class ClaimedTwice(InvariantViolation):
    """A key was claimed while an earlier claim on it stood."""


class StoredBytesDrift(InvariantViolation):
    """The count of stored bytes differs from what is stored."""


class ClaimLedger:
    """Decide claims in the order of the quorum log.

    A key is claimed at most once until it expires or the claim is
    abandoned with a proof that the request did not run. A full ledger
    refuses claims; it never evicts one that has not expired.
    """

    __slots__ = ("_entries", "_high_ms", "_next_claim_id", "_stored_bytes")

    def __init__(self) -> None:
        # in the order of claiming, which is that of expiry
        self._entries: OrderedDict[bytes, ClaimEntry] = OrderedDict()
        self._next_claim_id = 1
        self._high_ms = 0
        self._stored_bytes = 0

    @property
    def claims(self) -> int:
        """Return the number of claims that are kept."""
        return len(self._entries)

    @property
    def stored_bytes(self) -> int:
        """Return the bytes of all kept answers."""
        return self._stored_bytes

    @property
    def high_ms(self) -> int:
        """Return the ledger's time, in milliseconds since 1970."""
        return self._high_ms

    def entry(self, key: bytes) -> ClaimEntry | None:
        """Return the claim on ``key``, or nothing."""
        return self._entries.get(key)

    def apply(self, command: ClaimCommand) -> ClaimOutcome:
        """Apply the next command of the log."""
        match command:
            case ClaimKey():
                return self._claim(command)
            case StoreAnswer():
                return self._store(command)
            case RecordUnknown():
                return self._record_unknown(command)
            case AbandonClaim():
                return self._abandon(command)
            case ExpireClaims():
                return self._expire(command)

    def snapshot(self) -> ClaimSnapshot:
        """Return the whole state, which shares nothing mutable."""
        claims = (KeyedClaim(*item) for item in self._entries.items())
        return ClaimSnapshot(self._next_claim_id, self._high_ms, tuple(claims))

    @classmethod
    def restore(cls, snapshot: ClaimSnapshot) -> ClaimLedger:
        """Build a ledger from a snapshot."""
        ledger = cls()
        ledger._next_claim_id = snapshot.next_claim_id
        ledger._high_ms = snapshot.high_ms
        for claim in snapshot.claims:
            ledger._entries[claim.key] = claim.entry
            ledger._stored_bytes += claim.entry.answer_bytes
        return ledger

    def check(self) -> None:
        """Assert the counts; for long runs, since it reads all."""
        total = sum(entry.answer_bytes for entry in self._entries.values())
        if total != self._stored_bytes:
            raise StoredBytesDrift

    def _claim(self, command: ClaimKey) -> ClaimOutcome:
        entry = self._entries.get(command.key)
        if entry is not None:
            return _outcome_of_repeat(entry, command)
        if not self._entries:
            self._high_ms = command.claimed_at_ms
        if len(self._entries) >= MAX_CLAIMS:
            return LedgerFull()
        return Claimed(self._add(command))

    def _add(self, command: ClaimKey) -> int:
        if command.key in self._entries:
            raise ClaimedTwice(command.key)
        claim_id = self._next_claim_id
        self._next_claim_id += 1
        self._entries[command.key] = ClaimEntry(
            claim_id=claim_id,
            fingerprint=command.fingerprint,
            owner_node=command.owner_node,
            owner_incarnation=command.owner_incarnation,
            attempt_id=command.attempt_id,
            claimed_at_ms=self._high_ms,
            answer=None,
            is_unknown=False,
        )
        return claim_id

    def _store(self, command: StoreAnswer) -> ClaimOutcome:
        entry = self._held(command.key, command.claim_id)
        if entry is None:
            return NoSuchClaim()
        if entry.answer is not None:
            # proposed again after a lost answer; the first one stands
            return Recorded()
        answer = StoredAnswer(command.status, command.headers, command.body)
        if not self._may_keep(answer):
            answer = StoredAnswer(command.status, (), None)
        self._entries[command.key] = replace(
            entry, answer=answer, is_unknown=False
        )
        self._stored_bytes += answer.stored_bytes
        return Recorded()

    def _may_keep(self, answer: StoredAnswer) -> bool:
        size = answer.stored_bytes
        if answer.body is None or size > MAX_ANSWER_BYTES:
            return False
        return self._stored_bytes + size <= MAX_STORED_BYTES

    def _record_unknown(self, command: RecordUnknown) -> ClaimOutcome:
        entry = self._held(command.key, command.claim_id)
        if entry is None:
            return NoSuchClaim()
        if entry.answer is None:
            self._entries[command.key] = replace(entry, is_unknown=True)
        return Recorded()

    def _abandon(self, command: AbandonClaim) -> ClaimOutcome:
        entry = self._held(command.key, command.claim_id)
        if entry is None or not entry.is_running:
            # an answer or a cut is evidence of a run; no proof beats it
            return NoSuchClaim()
        self._drop(command.key, entry)
        return Recorded()

    def _expire(self, command: ExpireClaims) -> ClaimOutcome:
        now_ms = command.before_ms + RETENTION_MS
        step_ms = min(MAX_STEP_MS, max(0, now_ms - self._high_ms))
        self._high_ms += step_ms
        before_ms = min(command.before_ms, self._high_ms - RETENTION_MS)
        count = 0
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.claimed_at_ms >= before_ms:
                break
            self._drop(key, entry)
            count += 1
        return Expired(count)

    def _held(self, key: bytes, claim_id: int) -> ClaimEntry | None:
        entry = self._entries.get(key)
        if entry is None or entry.claim_id != claim_id:
            return None
        return entry

    def _drop(self, key: bytes, entry: ClaimEntry) -> None:
        del self._entries[key]
        self._stored_bytes -= entry.answer_bytes


def _outcome_of_repeat(entry: ClaimEntry, command: ClaimKey) -> ClaimOutcome:
    if entry.fingerprint != command.fingerprint:
        return KeyConflict()
    if entry.answer is not None:
        return Answered(entry.answer)
    if entry.is_unknown:
        return OutcomeUnknown()
    if _is_same_attempt(entry, command):
        return Claimed(entry.claim_id)
    return AlreadyRunning(entry.owner_node)


def _is_same_attempt(entry: ClaimEntry, command: ClaimKey) -> bool:
    return (
        entry.owner_node == command.owner_node
        and entry.owner_incarnation == command.owner_incarnation
        and entry.attempt_id == command.attempt_id
    )
