"""The outcome of a submitted document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from rhubarbhollow_distribution.departure_command import (
    DepartureCommandFault,
)
from rhubarbhollow_distribution.departure_ledger import DeparturesRecorded
from rhubarbhollow_release.outcome import (
    Accepted,
    AlreadyAccepted,
    BaseMoved,
    Refused,
)
from rhubarbhollow_replication.fault import (
    NotLeader,
    Overloaded,
    PayloadTooLarge,
    ProposeFault,
    StoreFailed,
)
from rhubarbhollow_rollout.command import RolloutCommandFault
from rhubarbhollow_rollout.outcome import (
    RolloutInProgress,
    RolloutKnown,
    RolloutStarted,
    TooManyRollouts,
)


class DocumentVerdict(IntEnum):
    """Classify an outcome; the value is stable on the wire."""

    ACCEPTED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    BASE_MOVED = 6

    @property
    def is_final(self) -> bool:
        """Return whether a repetition would get the same verdict."""
        return self <= DocumentVerdict.CONFLICT


@dataclass(frozen=True, slots=True)
class DocumentOutcome:
    """Hold the verdict on a submitted document and its reason.

    ``UNAVAILABLE`` means that nothing was accepted, ``UNKNOWN`` that
    the document may or may not have been accepted. ``BASE_MOVED`` means
    that it has to be planned again on the latest release; operators
    never get it.
    """

    verdict: DocumentVerdict
    detail: str


def outcome_of_command(outcome: object) -> DocumentOutcome:
    """Return the verdict that a ledger's outcome amounts to."""
    match outcome:
        case Accepted(position, _, _):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED, f"accepted at position {position}"
            )
        case AlreadyAccepted(position, _, _):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED,
                f"already accepted at position {position}",
            )
        case BaseMoved():
            return DocumentOutcome(
                DocumentVerdict.BASE_MOVED,
                "another release was accepted meanwhile",
            )
        case (
            Refused()
            | RolloutCommandFault()
            | TooManyRollouts()
            | DepartureCommandFault()
        ):
            return DocumentOutcome(DocumentVerdict.INVALID, repr(outcome))
        case RolloutStarted(record) | RolloutKnown(record):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED, f"rollout {record.number}"
            )
        case DeparturesRecorded(node):
            return DocumentOutcome(
                DocumentVerdict.ACCEPTED, f"departures at {node}"
            )
        case RolloutInProgress(record):
            return DocumentOutcome(
                DocumentVerdict.CONFLICT,
                f"a rollout to version {record.new_version!r} is running",
            )
        case _:
            return DocumentOutcome(DocumentVerdict.CONFLICT, repr(outcome))


def outcome_of_fault(fault: ProposeFault) -> DocumentOutcome:
    """Return the verdict that a failed proposal amounts to."""
    match fault:
        case NotLeader() | Overloaded() | StoreFailed():
            verdict = DocumentVerdict.UNAVAILABLE
        case PayloadTooLarge():
            verdict = DocumentVerdict.INVALID
        case _:
            verdict = DocumentVerdict.UNKNOWN
    return DocumentOutcome(verdict, type(fault).__name__)
