"""Messages on rollouts between nodes and control instances."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutEvidence:
    """Count the ended attempts of one route at both versions.

    ``number`` identifies the rollout. ``stable`` stands for every
    version other than the new one. An attempt is counted as failed (an
    error response), broken (no whole response) or slow, as one of them
    at most.
    """

    number: int
    route: str
    stable_calls: int
    stable_failed: int
    stable_broken: int
    stable_slow: int
    new_calls: int
    new_failed: int
    new_broken: int
    new_slow: int


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """Report a node's evidence since its last report.

    ``sequence`` is repeated by the answer, a ``RolloutExposure``.
    """

    sequence: int
    evidence: tuple[RolloutEvidence, ...]


@dataclass(frozen=True, slots=True)
class RolloutView:
    """Describe the latest rollout of a service to nodes.

    ``number`` and ``revision`` are those of the ``RolloutRecord``.
    ``state`` is 1 while it runs, 2 if it completed and 3 if it was
    rolled back.
    """

    service: str
    number: int
    revision: int
    new_version: str
    stable_version: str
    state: int
    share_permille: int
    step: int


@dataclass(frozen=True, slots=True)
class RolloutExposure:
    """Tell a node the rollouts of the services that changed.

    ``sequence`` is that of the report which this answers, or 0. All
    that was acknowledged ``age_ms`` before this was sent is contained
    in this or an earlier message of the connection.
    """

    sequence: int
    age_ms: int
    rollouts: tuple[RolloutView, ...]


@dataclass(frozen=True, slots=True)
class RolloutSummary:
    """Report the evidence that a control instance got, to the leader.

    The counts are totals since the instance started, for the rollouts
    that are running there.
    """

    control: str
    incarnation: int
    evidence: tuple[RolloutEvidence, ...]
