"""Outcomes of commands on rollouts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_rollout.record import RolloutRecord


@dataclass(frozen=True, slots=True)
class RolloutStarted:
    """The order began a rollout."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class RolloutKnown:
    """The same order was given before, or its version is in force."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class RolloutInProgress:
    """Another rollout of the service is running."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class TooManyRollouts:
    """The ledger holds as many services as it may."""

    limit: int


@dataclass(frozen=True, slots=True)
class RolloutChanged:
    """The exposure or the state of a rollout was set."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class RolloutNotRunning:
    """The command names a rollout that has ended or is unknown."""

    service: str
    number: int


RolloutOutcome: TypeAlias = (
    RolloutStarted
    | RolloutKnown
    | RolloutInProgress
    | TooManyRollouts
    | RolloutChanged
    | RolloutNotRunning
)
