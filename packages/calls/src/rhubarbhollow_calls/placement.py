"""Placement of calls on the upstream expected to answer first.

The nodes of a data centre share a few upstreams, each node sees only
its own calls, and traffic to other data centres is expensive. The node
beside an upstream therefore reports with each response how long calls
of either priority would wait there, and a call leaves its data centre
only if no local upstream can serve it in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.candidate_view import Eligibility
from rhubarbhollow_calls.service_times import SERVICE_MARGIN
from rhubarbhollow_calls.upstream_ranking import rank_endpoint

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from rhubarbhollow_calls.placement_needs import PlacementNeeds
    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

# Number of candidates to compare. More candidates improve the choice
# little and take time.
MAX_COMPARED: Final = 4
# Calls are expected to take this many times as long on an upstream that
# joined less than ``COLD_START_SECONDS`` ago.
COLD_START_FACTOR: Final = 2.0
COLD_START_SECONDS: Final = 4.0

# An upstream that fails half of its calls counts as eight times as
# slow.
FAILURE_EXPONENT: Final = 3
# Bounds the factor for an upstream that fails nearly all calls.
MIN_SUCCESS_SHARE: Final = 0.1

# A backlog reported by another data centre is assumed to last for this
# time, in which several calls of each route end there and bring new
# reports.
REMOTE_BACKLOG_HOLD_SECONDS: Final = 0.5

# Share of the calls that may leave for another data centre of which
# nothing has been heard for that time, where local loads are reported.
EXPLORATION_SHARE: Final = 0.25

# The shares of its slack that a call may wait, tried in order; for each
# share the local upstreams come before the remote ones. A bulk call
# leaves early for an idle data centre, since it occupies the slots that
# interactive calls wait for and needs little bandwidth per second of
# slot time.
_SLACK_SHARES: Final = {
    CallPriority.INTERACTIVE: (1.0,),
    CallPriority.BULK: (0.25, 1.0),
}

_USABLE: Final = frozenset(
    (
        Eligibility.LOCAL,
        Eligibility.REMOTE,
        Eligibility.LOCAL_FULL,
        Eligibility.REMOTE_FULL,
    )
)


def place_call(
    members: Sequence[UpstreamEvidence],
    excluded: Collection[str],
    needs: PlacementNeeds,
    now: float,
    random: Random,
) -> UpstreamEvidence | None:
    """Return the upstream for a call, or ``None``.

    If no upstream can serve the call in time, a local one is returned
    all the same or, on the first attempt, a remote one if there is no
    local one. If none is usable, the best-ranked one that is not
    leaving is returned.
    """
    usable = [
        evidence
        for evidence in members
        if evidence.endpoint.name not in excluded
        and rank_endpoint(evidence, now) in _USABLE
    ]
    local = [evidence for evidence in usable if evidence.is_local]
    remote = [evidence for evidence in usable if not evidence.is_local]
    local_best = _earliest_completion(local, needs, now, random)
    remote_best = _earliest_completion(remote, needs, now, random)
    if (
        remote_best is not None
        and any(evidence.is_reported for evidence in local)
        and now >= remote_best.backlog_at + REMOTE_BACKLOG_HOLD_SECONDS
        and random.random() >= EXPLORATION_SHARE
    ):
        # The local waits are known from reports, and an unknown remote
        # one would always look shorter.
        remote_best = None
    for share in _SLACK_SHARES[needs.priority]:
        if local_best is not None and (
            expected_wait(local_best, needs.priority, now)
            <= share * slack(local_best, needs, now)
        ):
            return local_best
        if remote_best is not None and (
            remote_wait(remote_best, needs.priority, now)
            <= share * slack(remote_best, needs, now)
        ):
            return remote_best
    if local_best is not None:
        return local_best
    if excluded and remote_best is not None:
        # Local upstreams refused the call and the remote ones cannot
        # serve it in time either: sending it would waste bandwidth.
        return None
    return remote_best or _last_resort(members, excluded, now)


def remote_wait(
    evidence: UpstreamEvidence, priority: CallPriority, now: float
) -> float:
    """Return the seconds a call would wait in another data centre.

    The estimate is pessimistic: a reported backlog counts in full for
    ``REMOTE_BACKLOG_HOLD_SECONDS``, because the load that caused it is
    likely to continue and a refused call has already used bandwidth.
    """
    if now < evidence.backlog_at + REMOTE_BACKLOG_HOLD_SECONDS:
        reported = evidence.backlog.wait_seconds(priority)
        return reported + evidence.sent_backlog.wait_seconds(priority)
    return expected_wait(evidence, priority, now)


def expected_wait(
    evidence: UpstreamEvidence, priority: CallPriority, now: float
) -> float:
    """Return the seconds that a call would wait for a slot.

    The reported backlog is assumed to drain since the report, and the
    calls that this node has sent since are added.
    """
    elapsed = max(0.0, now - evidence.backlog_at)
    reported = evidence.backlog.wait_seconds(priority)
    left = max(0.0, reported - elapsed)
    return left + evidence.sent_backlog.wait_seconds(priority)


def service_seconds(
    evidence: UpstreamEvidence, needs: PlacementNeeds, now: float
) -> float:
    """Return the seconds that the call would occupy a slot."""
    service = evidence.route_seconds.get(needs.route, 0.0)
    if not service:
        service = needs.service_seconds * evidence.slowness
    service *= evidence.speed.factor(now)
    if now < evidence.endpoint.joined_at + COLD_START_SECONDS:
        service *= COLD_START_FACTOR
    return service


def slack(
    evidence: UpstreamEvidence, needs: PlacementNeeds, now: float
) -> float:
    """Return the seconds the call can wait and still be in time."""
    service = service_seconds(evidence, needs, now)
    return max(0.0, needs.remaining_seconds - SERVICE_MARGIN * service)


def expected_completion(
    evidence: UpstreamEvidence, needs: PlacementNeeds, now: float
) -> float:
    """Return the seconds until the response, weighted by failures."""
    service = service_seconds(evidence, needs, now)
    seconds = expected_wait(evidence, needs.priority, now) + service
    success_share = max(MIN_SUCCESS_SHARE, 1 - evidence.failure_share)
    return seconds / success_share**FAILURE_EXPONENT


def _earliest_completion(
    candidates: Sequence[UpstreamEvidence],
    needs: PlacementNeeds,
    now: float,
    random: Random,
) -> UpstreamEvidence | None:
    """Return the best of a sample of candidates, or ``None``."""
    if not candidates:
        return None
    compared = candidates
    if len(candidates) > MAX_COMPARED:
        compared = random.sample(candidates, MAX_COMPARED)
    # Jitter spreads the calls of nodes that have the same information.
    return min(
        compared,
        key=lambda evidence: (
            expected_completion(evidence, needs, now)
            * (1 + random.random() / 8)
        ),
    )


def _last_resort(
    members: Sequence[UpstreamEvidence],
    excluded: Collection[str],
    now: float,
) -> UpstreamEvidence | None:
    """Return the best-ranked upstream that is not leaving, or ``None``.

    Used when no upstream is usable, so that a call is still tried.
    """
    ranked = [
        (rank_endpoint(evidence, now), not evidence.is_local, index)
        for index, evidence in enumerate(members)
        if evidence.endpoint.name not in excluded and not evidence.is_leaving
    ]
    return members[min(ranked)[2]] if ranked else None
