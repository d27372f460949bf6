"""Refusals, sent in place of an upstream's response."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.invariant import InvariantViolation

if TYPE_CHECKING:
    from rhubarbhollow_calls.not_run_proof import NotRunProof

EXECUTED_HEADER: Final = b"rhubarbhollow-executed"
PROBLEM_CONTENT_TYPE: Final = b"application/problem+json"
PROBLEM_TYPE_PREFIX: Final = "tag:rhubarbhollow,2026:refusal/"


class Executed(Enum):
    """Whether the refused request may have run."""

    NO = "no"
    UNKNOWN = "unknown"

    @property
    def header_value(self) -> bytes:
        """Return the value of the field ``EXECUTED_HEADER``."""
        return self.value.encode()


class RefusalKind(Enum):
    """Cause of a refusal; the values are part of the wire format."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    ROUTE_UNCONFIRMED = "route_unconfirmed"
    NO_RELEASE = "no_release"
    NO_UPSTREAM = "no_upstream"
    UNREACHABLE = "unreachable"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DRAINING = "draining"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    SUSPECT_HELD = "suspect_held"
    STALE_POSITION = "stale_position"
    KEY_CONFLICT = "key_conflict"
    ALREADY_RUNNING = "already_running"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    KEY_UNKNOWN = "key_unknown"
    KEY_UNCONFIRMED = "key_unconfirmed"
    KEY_WITHDRAWN = "key_withdrawn"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNCONFIRMED = "quota_unconfirmed"


_STATUS: Final = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.NO_ROUTE: 404,
    # Not 404, which would tell the client that it need not retry.
    RefusalKind.ROUTE_UNCONFIRMED: 503,
    RefusalKind.NO_RELEASE: 503,
    RefusalKind.NO_UPSTREAM: 503,
    RefusalKind.UNREACHABLE: 503,
    RefusalKind.QUEUE_FULL: 503,
    RefusalKind.SHED: 503,
    RefusalKind.DRAINING: 503,
    RefusalKind.DEADLINE: 504,
    # Not 503, which would invite the client to retry.
    RefusalKind.QUARANTINED: 403,
    RefusalKind.SUSPECT_HELD: 503,
    RefusalKind.STALE_POSITION: 503,
    RefusalKind.KEY_CONFLICT: 422,
    RefusalKind.ALREADY_RUNNING: 409,
    RefusalKind.CLAIM_UNAVAILABLE: 503,
    RefusalKind.OUTCOME_UNKNOWN: 502,
    RefusalKind.HEADERS_TOO_LARGE: 431,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.KEY_UNKNOWN: 401,
    # Not 401, which would tell the client that its key is not valid.
    RefusalKind.KEY_UNCONFIRMED: 503,
    RefusalKind.KEY_WITHDRAWN: 503,
    RefusalKind.QUOTA_EXCEEDED: 429,
    # Not 429, since the tenant may be within its quota.
    RefusalKind.QUOTA_UNCONFIRMED: 503,
}

_TITLE: Final = {
    kind: kind.value.replace("_", " ").capitalize() for kind in RefusalKind
}

# Refusals of these kinds never carry a proof: this request, or another
# one with its key, may have run.
_MAY_HAVE_RUN: Final = frozenset(
    {RefusalKind.OUTCOME_UNKNOWN, RefusalKind.ALREADY_RUNNING}
)


class ProofContradiction(InvariantViolation):
    """A refusal carries a not-run proof that its kind rules out."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, with a proof if it is known not to have run.

    ``executed`` is derived from the proof alone, so a refusal cannot
    state that the request did not run without a proof.
    """

    kind: RefusalKind
    detail: str
    proof: NotRunProof | None

    def __post_init__(self) -> None:
        if self.proof is not None and self.kind in _MAY_HAVE_RUN:
            raise ProofContradiction(
                f"a {self.kind.value} refusal cannot carry a not-run proof"
            )

    @property
    def executed(self) -> Executed:
        """Return ``NO`` only if there is a proof."""
        return Executed.UNKNOWN if self.proof is None else Executed.NO

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return _STATUS[self.kind]

    @classmethod
    def not_run(
        cls, kind: RefusalKind, proof: NotRunProof, detail: str = ""
    ) -> Refusal:
        """Build a refusal of a request that provably did not run."""
        return cls(kind, detail, proof)

    @classmethod
    def unknown(cls, kind: RefusalKind, detail: str = "") -> Refusal:
        """Build a refusal of a request that may have run."""
        return cls(kind, detail, None)


def problem_bytes(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document (RFC 9457) of ``refusal`` as JSON."""
    problem = {
        "type": PROBLEM_TYPE_PREFIX + refusal.kind.value,
        "title": _TITLE[refusal.kind],
        "status": refusal.status,
        "detail": refusal.detail,
        "executed": refusal.executed.value,
        "request_id": request_id,
    }
    return json.dumps(problem, separators=(",", ":")).encode()


def parse_executed(value: bytes | None) -> Executed:
    """Parse the field value; anything but ``no`` means unknown."""
    return Executed.NO if value == b"no" else Executed.UNKNOWN


def maybe_refusal_kind(value: bytes) -> RefusalKind | None:
    """Parse a kind sent by another node, or return ``None``."""
    try:
        return RefusalKind(value.decode("ascii"))
    except ValueError:
        return None
