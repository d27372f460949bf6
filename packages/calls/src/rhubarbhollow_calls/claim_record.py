"""Thrift records that the claim codec reads and writes."""

from __future__ import annotations

from typing import Any

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType


class ClaimRecord(TBase):  # type: ignore[misc]
    """Record of any claim message; unused fields are ``None``."""

    __slots__ = (
        "at_ms",
        "attempt_id",
        "body",
        "claim_id",
        "count",
        "fingerprint",
        "headers",
        "is_unknown",
        "key",
        "kind",
        "owner_incarnation",
        "owner_node",
        "proof_kind",
        "proof_text",
        "status",
    )

    thrift_spec = (
        None,
        (1, TType.I32, "kind", None, None),
        (2, TType.STRING, "key", "BINARY", None),
        (3, TType.STRING, "fingerprint", "BINARY", None),
        (4, TType.STRING, "owner_node", "UTF8", None),
        (5, TType.I64, "owner_incarnation", None, None),
        (6, TType.I64, "attempt_id", None, None),
        (7, TType.I64, "at_ms", None, None),
        (8, TType.I64, "claim_id", None, None),
        (9, TType.I32, "status", None, None),
        (
            10,
            TType.LIST,
            "headers",
            (TType.STRING, "BINARY", False),
            None,
        ),
        (11, TType.STRING, "body", "BINARY", None),
        (12, TType.I32, "proof_kind", None, None),
        (13, TType.STRING, "proof_text", "UTF8", None),
        (14, TType.BOOL, "is_unknown", None, None),
        (15, TType.I64, "count", None, None),
    )

    def __init__(self, **values: Any) -> None:  # noqa: ANN401
        for name in self.__slots__:
            setattr(self, name, values.get(name))


class SnapshotRecord(TBase):  # type: ignore[misc]
    """Record of the whole state of a ledger."""

    __slots__ = ("claims", "high_ms", "next_claim_id")

    thrift_spec = (
        None,
        (1, TType.I64, "next_claim_id", None, None),
        (2, TType.I64, "high_ms", None, None),
        (
            3,
            TType.LIST,
            "claims",
            (TType.STRUCT, [ClaimRecord, ClaimRecord.thrift_spec], False),
            None,
        ),
    )

    def __init__(self, **values: Any) -> None:  # noqa: ANN401
        for name in self.__slots__:
            setattr(self, name, values.get(name))
