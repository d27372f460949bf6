"""The order of preference among endpoints, by their evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.candidate_view import Eligibility

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

# Scores within this ratio are a tie, which the reported load breaks.
TIE_RATIO: Final = 1.1


def best_ranked(
    members: Sequence[UpstreamEvidence], excluded: Collection[str], now: float
) -> list[UpstreamEvidence]:
    """Return the endpoints of the best rank that has any."""
    best: list[UpstreamEvidence] = []
    best_rank = Eligibility.LEAVING
    for evidence in members:
        rank = rank_endpoint(evidence, now)
        if rank is Eligibility.LEAVING or evidence.endpoint.name in excluded:
            continue
        if rank < best_rank:
            best_rank = rank
            best = [evidence]
        elif rank is best_rank:
            best.append(evidence)
    return best


def rank_endpoint(evidence: UpstreamEvidence, now: float) -> Eligibility:
    """Return an endpoint's rank, without regard to latency."""
    if evidence.is_leaving:
        return Eligibility.LEAVING
    if evidence.ejected_until > now:
        return Eligibility.EJECTED
    if evidence.is_on_probation and evidence.in_flight:
        # On probation it gets one call at a time, until an answer.
        return Eligibility.EJECTED
    if evidence.refusing_until > now:
        return Eligibility.REFUSING
    if evidence.is_full:
        if evidence.is_local:
            return Eligibility.LOCAL_FULL
        return Eligibility.REMOTE_FULL
    return Eligibility.LOCAL if evidence.is_local else Eligibility.REMOTE


def better_of(
    first: UpstreamEvidence, second: UpstreamEvidence, now: float
) -> UpstreamEvidence:
    """Return the endpoint with the lower score.

    The score is the product of calls in flight, latency and recent
    failures. Ties are broken by the reported load.
    """
    first_score = _score(first, second, now)
    second_score = _score(second, first, now)
    if first_score * TIE_RATIO < second_score:
        return first
    if second_score * TIE_RATIO < first_score:
        return second
    first_load = first.reported_load
    second_load = second.reported_load
    if first_load is not None and second_load is not None:
        return first if first_load <= second_load else second
    # The arguments are in random order, so equal endpoints are chosen
    # equally often.
    return first


def _score(
    evidence: UpstreamEvidence, other: UpstreamEvidence, now: float
) -> float:
    latency = evidence.decayed_latency(now)
    if latency is None:
        # An unknown latency counts as equal to the other's, so that a
        # new endpoint does not attract a burst of calls.
        latency = other.decayed_latency(now) or 1.0
    failures = 1 + evidence.decayed_failures(now)
    return (evidence.in_flight + 1) * latency * failures
