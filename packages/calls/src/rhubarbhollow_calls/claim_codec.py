"""Encoding of claim commands, outcomes and snapshots.

Messages are flat Thrift records with numbered fields, so that a reader
skips fields added by a newer writer. A record of an unknown kind, or
one without a field that its kind requires, decodes to a
``ClaimCodecFault``.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbhollow_calls.claim import (
    AbandonClaim,
    AnswerHeader,
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
from rhubarbhollow_calls.claim_record import ClaimRecord, SnapshotRecord
from rhubarbhollow_calls.claim_snapshot import ClaimSnapshot, KeyedClaim
from rhubarbhollow_calls.not_run_proof import (
    NeverWritten,
    NotRunProof,
    RefusedByPeer,
    RefusedByUpstream,
    UnwrittenStage,
    UpstreamSignal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_RECORD_BYTES: Final = 1024 * 1024
MAX_SNAPSHOT_BYTES: Final = 256 * 1024 * 1024
MAX_LIST_ITEMS: Final = 1_000_000

# Raised by the Thrift decoder and the record readers on malformed data.
_DECODE_ERRORS: Final = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
    struct.error,
)


class _RecordKind(IntEnum):
    CLAIM_KEY = 1
    STORE_ANSWER = 2
    RECORD_UNKNOWN = 3
    ABANDON_CLAIM = 4
    EXPIRE_CLAIMS = 5
    CLAIMED = 16
    ALREADY_RUNNING = 17
    ANSWERED = 18
    OUTCOME_UNKNOWN = 19
    KEY_CONFLICT = 20
    LEDGER_FULL = 21
    RECORDED = 22
    NO_SUCH_CLAIM = 23
    EXPIRED = 24
    ENTRY = 32


class _ProofKind(IntEnum):
    NEVER_WRITTEN = 1
    REFUSED_BY_UPSTREAM = 2
    REFUSED_BY_PEER = 3


class ClaimFaultReason(Enum):
    """Why encoded bytes were rejected."""

    UNREADABLE = "unreadable"
    UNKNOWN_KIND = "unknown_kind"
    INCOMPLETE = "incomplete"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class ClaimCodecFault:
    """Bytes that could not be decoded as a claim message."""

    reason: ClaimFaultReason


class _IncompleteRecord(Exception):  # noqa: N818
    """A record lacks a field that its kind requires."""


def encode_command(command: ClaimCommand) -> bytes:
    """Encode a command for the replicated log."""
    match command:
        case ClaimKey():
            record = ClaimRecord(
                kind=_RecordKind.CLAIM_KEY,
                key=command.key,
                fingerprint=command.fingerprint,
                owner_node=command.owner_node,
                owner_incarnation=command.owner_incarnation,
                attempt_id=command.attempt_id,
                at_ms=command.claimed_at_ms,
            )
        case StoreAnswer():
            record = ClaimRecord(
                kind=_RecordKind.STORE_ANSWER,
                key=command.key,
                claim_id=command.claim_id,
                status=command.status,
                headers=_flatten_headers(command.headers),
                body=command.body,
            )
        case RecordUnknown():
            record = ClaimRecord(
                kind=_RecordKind.RECORD_UNKNOWN,
                key=command.key,
                claim_id=command.claim_id,
            )
        case AbandonClaim():
            record = _abandon_to_record(command)
        case ExpireClaims():
            record = ClaimRecord(
                kind=_RecordKind.EXPIRE_CLAIMS, at_ms=command.before_ms
            )
    return _serialize(record)


def decode_command(data: bytes) -> Result[ClaimCommand, ClaimCodecFault]:
    """Decode a command of the replicated log."""
    return _decode(data, _COMMAND_READERS)


def encode_outcome(outcome: ClaimOutcome) -> bytes:
    """Encode an outcome for the node that proposed the command."""
    match outcome:
        case Claimed():
            record = ClaimRecord(
                kind=_RecordKind.CLAIMED, claim_id=outcome.claim_id
            )
        case AlreadyRunning():
            record = ClaimRecord(
                kind=_RecordKind.ALREADY_RUNNING, owner_node=outcome.owner_node
            )
        case Answered():
            record = ClaimRecord(
                kind=_RecordKind.ANSWERED,
                status=outcome.answer.status,
                headers=_flatten_headers(outcome.answer.headers),
                body=outcome.answer.body,
            )
        case Expired():
            record = ClaimRecord(kind=_RecordKind.EXPIRED, count=outcome.count)
        case _:
            record = ClaimRecord(kind=_FIELDLESS_OUTCOME_KINDS[type(outcome)])
    return _serialize(record)


def decode_outcome(data: bytes) -> Result[ClaimOutcome, ClaimCodecFault]:
    """Decode the outcome of a command."""
    return _decode(data, _OUTCOME_READERS)


def encode_snapshot(snapshot: ClaimSnapshot) -> bytes:
    """Encode the whole state of a ledger."""
    return _serialize(
        SnapshotRecord(
            next_claim_id=snapshot.next_claim_id,
            high_ms=snapshot.high_ms,
            claims=[_entry_to_record(claim) for claim in snapshot.claims],
        )
    )


def decode_snapshot(data: bytes) -> Result[ClaimSnapshot, ClaimCodecFault]:
    """Decode the whole state of a ledger."""
    if len(data) > MAX_SNAPSHOT_BYTES:
        return _fault(ClaimFaultReason.TOO_LARGE)
    record = SnapshotRecord()
    try:
        _deserialize(record, data, MAX_SNAPSHOT_BYTES)
        return Ok(
            ClaimSnapshot(
                _require(record.next_claim_id),
                _require(record.high_ms),
                tuple(_read_entry(entry) for entry in _require(record.claims)),
            )
        )
    except _IncompleteRecord:
        return _fault(ClaimFaultReason.INCOMPLETE)
    except _DECODE_ERRORS:
        return _fault(ClaimFaultReason.UNREADABLE)


def _decode(
    data: bytes, readers: dict[int, Callable[[ClaimRecord], Any]]
) -> Result[Any, ClaimCodecFault]:
    if len(data) > MAX_RECORD_BYTES:
        return _fault(ClaimFaultReason.TOO_LARGE)
    record = ClaimRecord()
    try:
        _deserialize(record, data, MAX_RECORD_BYTES)
        reader = readers.get(_require(record.kind))
        if reader is None:
            return _fault(ClaimFaultReason.UNKNOWN_KIND)
        return Ok(reader(record))
    except _IncompleteRecord:
        return _fault(ClaimFaultReason.INCOMPLETE)
    except _DECODE_ERRORS:
        return _fault(ClaimFaultReason.UNREADABLE)


def _fault(reason: ClaimFaultReason) -> Err[ClaimCodecFault]:
    return Err(ClaimCodecFault(reason))


def _serialize(record: ClaimRecord | SnapshotRecord) -> bytes:
    buffer = TMemoryBuffer()
    factory = TCompactProtocolAcceleratedFactory()
    record.write(factory.getProtocol(buffer))
    return bytes(buffer.getvalue())


def _deserialize(
    record: ClaimRecord | SnapshotRecord, data: bytes, max_bytes: int
) -> None:
    factory = TCompactProtocolAcceleratedFactory(
        string_length_limit=max_bytes, container_length_limit=MAX_LIST_ITEMS
    )
    record.read(factory.getProtocol(TMemoryBuffer(data)))


def _require(value: Any) -> Any:  # noqa: ANN401
    if value is None:
        raise _IncompleteRecord
    return value


def _flatten_headers(headers: tuple[AnswerHeader, ...]) -> list[bytes]:
    """Return names and values as one alternating list."""
    return [part for line in headers for part in (line.name, line.value)]


def _unflatten_headers(parts: list[bytes]) -> tuple[AnswerHeader, ...]:
    pairs = zip(parts[::2], parts[1::2], strict=True)
    return tuple(AnswerHeader(name, value) for name, value in pairs)


def _abandon_to_record(command: AbandonClaim) -> ClaimRecord:
    match command.proof:
        case NeverWritten(stage):
            kind, text = _ProofKind.NEVER_WRITTEN, stage.value
        case RefusedByUpstream(signal):
            kind, text = _ProofKind.REFUSED_BY_UPSTREAM, signal.value
        case RefusedByPeer(node):
            kind, text = _ProofKind.REFUSED_BY_PEER, node
    return ClaimRecord(
        kind=_RecordKind.ABANDON_CLAIM,
        key=command.key,
        claim_id=command.claim_id,
        proof_kind=kind,
        proof_text=text,
    )


def _entry_to_record(claim: KeyedClaim) -> ClaimRecord:
    entry = claim.entry
    record = ClaimRecord(
        kind=_RecordKind.ENTRY,
        key=claim.key,
        claim_id=entry.claim_id,
        fingerprint=entry.fingerprint,
        owner_node=entry.owner_node,
        owner_incarnation=entry.owner_incarnation,
        attempt_id=entry.attempt_id,
        at_ms=entry.claimed_at_ms,
        is_unknown=entry.is_unknown,
    )
    if entry.answer is not None:
        record.status = entry.answer.status
        record.headers = _flatten_headers(entry.answer.headers)
        record.body = entry.answer.body
    return record


def _read_entry(record: ClaimRecord) -> KeyedClaim:
    answer = None if record.status is None else _read_answer(record)
    entry = ClaimEntry(
        claim_id=_require(record.claim_id),
        fingerprint=_require(record.fingerprint),
        owner_node=_require(record.owner_node),
        owner_incarnation=_require(record.owner_incarnation),
        attempt_id=_require(record.attempt_id),
        claimed_at_ms=_require(record.at_ms),
        answer=answer,
        is_unknown=_require(record.is_unknown),
    )
    return KeyedClaim(_require(record.key), entry)


def _read_answer(record: ClaimRecord) -> StoredAnswer:
    return StoredAnswer(
        _require(record.status),
        _unflatten_headers(_require(record.headers)),
        record.body,
    )


def _read_claim_key(record: ClaimRecord) -> ClaimKey:
    return ClaimKey(
        _require(record.key),
        _require(record.fingerprint),
        _require(record.owner_node),
        _require(record.owner_incarnation),
        _require(record.attempt_id),
        _require(record.at_ms),
    )


def _read_store_answer(record: ClaimRecord) -> StoreAnswer:
    return StoreAnswer(
        _require(record.key),
        _require(record.claim_id),
        _require(record.status),
        _unflatten_headers(_require(record.headers)),
        record.body,
    )


def _read_record_unknown(record: ClaimRecord) -> RecordUnknown:
    return RecordUnknown(_require(record.key), _require(record.claim_id))


def _read_abandon(record: ClaimRecord) -> AbandonClaim:
    return AbandonClaim(
        _require(record.key), _require(record.claim_id), _read_proof(record)
    )


def _read_proof(record: ClaimRecord) -> NotRunProof:
    text = _require(record.proof_text)
    match _ProofKind(_require(record.proof_kind)):
        case _ProofKind.NEVER_WRITTEN:
            return NeverWritten(UnwrittenStage(text))
        case _ProofKind.REFUSED_BY_UPSTREAM:
            return RefusedByUpstream(UpstreamSignal(text))
        case _ProofKind.REFUSED_BY_PEER:
            return RefusedByPeer(text)


_COMMAND_READERS: Final[dict[int, Callable[[ClaimRecord], Any]]] = {
    _RecordKind.CLAIM_KEY: _read_claim_key,
    _RecordKind.STORE_ANSWER: _read_store_answer,
    _RecordKind.RECORD_UNKNOWN: _read_record_unknown,
    _RecordKind.ABANDON_CLAIM: _read_abandon,
    _RecordKind.EXPIRE_CLAIMS: lambda record: ExpireClaims(
        _require(record.at_ms)
    ),
}
_OUTCOME_READERS: Final[dict[int, Callable[[ClaimRecord], Any]]] = {
    _RecordKind.CLAIMED: lambda record: Claimed(_require(record.claim_id)),
    _RecordKind.ALREADY_RUNNING: lambda record: AlreadyRunning(
        _require(record.owner_node)
    ),
    _RecordKind.ANSWERED: lambda record: Answered(_read_answer(record)),
    _RecordKind.EXPIRED: lambda record: Expired(_require(record.count)),
    _RecordKind.OUTCOME_UNKNOWN: lambda _: OutcomeUnknown(),
    _RecordKind.KEY_CONFLICT: lambda _: KeyConflict(),
    _RecordKind.LEDGER_FULL: lambda _: LedgerFull(),
    _RecordKind.RECORDED: lambda _: Recorded(),
    _RecordKind.NO_SUCH_CLAIM: lambda _: NoSuchClaim(),
}
_FIELDLESS_OUTCOME_KINDS: Final[dict[type, _RecordKind]] = {
    OutcomeUnknown: _RecordKind.OUTCOME_UNKNOWN,
    KeyConflict: _RecordKind.KEY_CONFLICT,
    LedgerFull: _RecordKind.LEDGER_FULL,
    Recorded: _RecordKind.RECORDED,
    NoSuchClaim: _RecordKind.NO_SUCH_CLAIM,
}
