"""Replicated ledger that decides who runs a non-idempotent request.

Every replica applies the commands of the replicated log, so the ledger
uses no clock, no randomness and no setting that may differ between
replicas. The leader puts timestamps into the commands.

A claim expires ``RETENTION_MS`` after it was made, whatever its result:
a caller must not send the key again after that. Expiry uses the
ledger's own time, which never goes back while there are claims, and
which only the leader's expiry command advances, by ``MAX_STEP_MS`` at
most. So a leader whose clock is wrong by hours cannot at once expire
claims that are a minute old: with one command per minute, claims are
kept for at least half the retention period. An empty ledger takes its
time from the next claim.
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
# Twice the interval at which a leader sends expiry commands.
MAX_STEP_MS: Final = 2 * 60 * 1000
MAX_CLAIMS: Final = 100_000
MAX_ANSWER_BYTES: Final = 64 * 1024
MAX_STORED_BYTES: Final = 16 * 1024 * 1024


class ClaimedTwice(InvariantViolation):
    """A key was claimed although an earlier claim on it exists."""


class StoredBytesDrift(InvariantViolation):
    """The counter of stored bytes differs from the stored answers."""


class ClaimLedger:
    """Apply claim commands in the order of the replicated log.

    A key can be claimed once until the claim expires or is abandoned
    with a proof that the request did not run. A full ledger refuses
    new claims; it never evicts a claim that has not expired.
    """

    __slots__ = (
        "_entries",
        "_ledger_time_ms",
        "_next_claim_id",
        "_stored_bytes",
    )

    def __init__(self) -> None:
        # Ordered by time of claim, which is also the order of expiry.
        self._entries: OrderedDict[bytes, ClaimEntry] = OrderedDict()
        self._next_claim_id = 1
        self._ledger_time_ms = 0
        self._stored_bytes = 0

    @property
    def claims(self) -> int:
        """Return the number of claims in the ledger."""
        return len(self._entries)

    @property
    def stored_bytes(self) -> int:
        """Return the size of all stored responses in bytes."""
        return self._stored_bytes

    @property
    def high_ms(self) -> int:
        """Return the ledger's time in milliseconds since 1970 (UTC)."""
        return self._ledger_time_ms

    def entry(self, key: bytes) -> ClaimEntry | None:
        """Return the claim on ``key``, or ``None``."""
        return self._entries.get(key)

    def apply(self, command: ClaimCommand) -> ClaimOutcome:
        """Apply the next command of the replicated log."""
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
        """Return the whole state, sharing nothing mutable."""
        claims = (KeyedClaim(*item) for item in self._entries.items())
        return ClaimSnapshot(
            self._next_claim_id, self._ledger_time_ms, tuple(claims)
        )

    @classmethod
    def restore(cls, snapshot: ClaimSnapshot) -> ClaimLedger:
        """Build a ledger from a snapshot."""
        ledger = cls()
        ledger._next_claim_id = snapshot.next_claim_id
        ledger._ledger_time_ms = snapshot.high_ms
        for claim in snapshot.claims:
            ledger._entries[claim.key] = claim.entry
            ledger._stored_bytes += claim.entry.answer_bytes
        return ledger

    def check(self) -> None:
        """Verify the counter of stored bytes against all entries.

        Meant for long test runs, since it reads the whole ledger. Raise
        ``StoredBytesDrift`` if the counter is wrong.
        """
        total = sum(entry.answer_bytes for entry in self._entries.values())
        if total != self._stored_bytes:
            raise StoredBytesDrift(
                f"the counter is {self._stored_bytes} bytes, but the stored"
                f" answers have {total}"
            )

    def _claim(self, command: ClaimKey) -> ClaimOutcome:
        entry = self._entries.get(command.key)
        if entry is not None:
            return _outcome_of_repeat(entry, command)
        if not self._entries:
            self._ledger_time_ms = command.claimed_at_ms
        if len(self._entries) >= MAX_CLAIMS:
            return LedgerFull()
        return Claimed(self._add(command))

    def _add(self, command: ClaimKey) -> int:
        if command.key in self._entries:
            raise ClaimedTwice(f"key {command.key!r} already has a claim")
        claim_id = self._next_claim_id
        self._next_claim_id += 1
        self._entries[command.key] = ClaimEntry(
            claim_id=claim_id,
            fingerprint=command.fingerprint,
            owner_node=command.owner_node,
            owner_incarnation=command.owner_incarnation,
            attempt_id=command.attempt_id,
            claimed_at_ms=self._ledger_time_ms,
            answer=None,
            is_unknown=False,
        )
        return claim_id

    def _store(self, command: StoreAnswer) -> ClaimOutcome:
        entry = self._find(command.key, command.claim_id)
        if entry is None:
            return NoSuchClaim()
        if entry.answer is not None:
            # Proposed again after a lost outcome: the first answer
            # stays.
            return Recorded()
        answer = StoredAnswer(command.status, command.headers, command.body)
        if not self._has_room_for(answer):
            answer = StoredAnswer(command.status, (), None)
        self._entries[command.key] = replace(
            entry, answer=answer, is_unknown=False
        )
        self._stored_bytes += answer.stored_bytes
        return Recorded()

    def _has_room_for(self, answer: StoredAnswer) -> bool:
        size = answer.stored_bytes
        if answer.body is None or size > MAX_ANSWER_BYTES:
            return False
        return self._stored_bytes + size <= MAX_STORED_BYTES

    def _record_unknown(self, command: RecordUnknown) -> ClaimOutcome:
        entry = self._find(command.key, command.claim_id)
        if entry is None:
            return NoSuchClaim()
        if entry.answer is None:
            self._entries[command.key] = replace(entry, is_unknown=True)
        return Recorded()

    def _abandon(self, command: AbandonClaim) -> ClaimOutcome:
        entry = self._find(command.key, command.claim_id)
        if entry is None or not entry.is_running:
            # A stored answer or an unknown result shows that the
            # request may have run, which no proof can override.
            return NoSuchClaim()
        self._remove(command.key, entry)
        return Recorded()

    def _expire(self, command: ExpireClaims) -> ClaimOutcome:
        now_ms = command.before_ms + RETENTION_MS
        step_ms = min(MAX_STEP_MS, max(0, now_ms - self._ledger_time_ms))
        self._ledger_time_ms += step_ms
        before_ms = min(command.before_ms, self._ledger_time_ms - RETENTION_MS)
        count = 0
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.claimed_at_ms >= before_ms:
                break
            self._remove(key, entry)
            count += 1
        return Expired(count)

    def _find(self, key: bytes, claim_id: int) -> ClaimEntry | None:
        entry = self._entries.get(key)
        if entry is None or entry.claim_id != claim_id:
            return None
        return entry

    def _remove(self, key: bytes, entry: ClaimEntry) -> None:
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
