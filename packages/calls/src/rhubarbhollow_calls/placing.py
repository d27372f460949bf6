"""Placing a call where it is expected to end first.

The load that it answers: nodes of one data centre share a few
upstreams, each sees its own calls only, and bytes to other data centres
are dear.  So the node beside an upstream tells on each answer how long
calls of either class would wait there, and a call leaves its data
centre only when nobody there can serve it in time.
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

    from rhubarbhollow_calls.placing_needs import PlacingNeeds
    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

# comparing more candidates than this gains little and costs time
MAX_COMPARED: Final = 4
# how much longer calls take on an upstream that has just started
COLD_FACTOR: Final = 2.0
COLD_SECONDS: Final = 4.0

# an upstream that fails half of its calls counts as eight times as slow
FAILURE_POWER: Final = 3
# bounds the factor for one that fails nearly all
MIN_SUCCEEDING: Final = 0.1

# how long a backlog in another data centre is taken to last; several
# calls of each kind end there in that time and tell of it anew
REMOTE_MEMORY_SECONDS: Final = 0.5

# the shares of its slack that a call waits in its own data centre
# before it leaves: a bulk call leaves early where another data centre
# is idle, since it holds the slots that urgent calls wait for and takes
# the fewest bytes for its time in a slot
_PATIENCE_SHARES: Final = {
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
    needs: PlacingNeeds,
    now: float,
    random: Random,
) -> UpstreamEvidence | None:
    """Return the upstream for a call, or nothing."""
    usable = [
        evidence
        for evidence in members
        if evidence.endpoint.name not in excluded
        and rank_endpoint(evidence, now) in _USABLE
    ]
    local = [evidence for evidence in usable if evidence.is_local]
    remote = [evidence for evidence in usable if not evidence.is_local]
    best = _soonest(local, needs, now, random)
    other = _soonest(remote, needs, now, random)
    for share in _PATIENCE_SHARES[needs.priority]:
        if best is not None and (
            expected_wait(best, needs.priority, now)
            <= share * slack(best, needs, now)
        ):
            return best
        if other is not None and (
            remote_wait(other, needs.priority, now)
            <= share * slack(other, needs, now)
        ):
            return other
    if best is not None:
        return best
    if excluded and other is not None:
        # refused here and as busy there: bytes for nothing
        return None
    return other or _last_resort(members, excluded, now)


def remote_wait(
    evidence: UpstreamEvidence, priority: CallPriority, now: float
) -> float:
    """Return the wait in another data centre, without optimism.

    Where a backlog was seen it is taken to last for a while: whatever
    filled it goes on, and a refused call has cost its bytes.
    """
    if now < evidence.backlog_at + REMOTE_MEMORY_SECONDS:
        told = evidence.backlog.wait_seconds(priority)
        return told + evidence.sent.wait_seconds(priority)
    return expected_wait(evidence, priority, now)


def expected_wait(
    evidence: UpstreamEvidence, priority: CallPriority, now: float
) -> float:
    """Return the seconds that a call would wait for a slot."""
    elapsed = max(0.0, now - evidence.backlog_at)
    told = evidence.backlog.wait_seconds(priority)
    left = max(0.0, told - elapsed)
    return left + evidence.sent.wait_seconds(priority)


def service_seconds(
    evidence: UpstreamEvidence, needs: PlacingNeeds, now: float
) -> float:
    """Return the seconds that the call would hold a slot there."""
    service = needs.service_seconds * evidence.slowness
    if now < evidence.endpoint.joined_at + COLD_SECONDS:
        service *= COLD_FACTOR
    return service


def slack(
    evidence: UpstreamEvidence, needs: PlacingNeeds, now: float
) -> float:
    """Return how long the call may wait there and still be in time."""
    service = service_seconds(evidence, needs, now)
    return max(0.0, needs.left_seconds - SERVICE_MARGIN * service)


def expected_end(
    evidence: UpstreamEvidence, needs: PlacingNeeds, now: float
) -> float:
    """Return the seconds until the answer, weighed by failures."""
    service = service_seconds(evidence, needs, now)
    end = expected_wait(evidence, needs.priority, now) + service
    succeeding = max(MIN_SUCCEEDING, 1 - evidence.failure_share)
    return end / succeeding**FAILURE_POWER


def _soonest(
    candidates: Sequence[UpstreamEvidence],
    needs: PlacingNeeds,
    now: float,
    random: Random,
) -> UpstreamEvidence | None:
    if not candidates:
        return None
    compared = candidates
    if len(candidates) > MAX_COMPARED:
        compared = random.sample(candidates, MAX_COMPARED)
    # jitter spreads the calls of many nodes that know the same
    return min(
        compared,
        key=lambda evidence: (
            expected_end(evidence, needs, now) * (1 + random.random() / 8)
        ),
    )


def _last_resort(
    members: Sequence[UpstreamEvidence],
    excluded: Collection[str],
    now: float,
) -> UpstreamEvidence | None:
    """Return the one that is the least unusable, but none leaving."""
    ranked = [
        (rank_endpoint(evidence, now), not evidence.is_local, index)
        for index, evidence in enumerate(members)
        if evidence.endpoint.name not in excluded and not evidence.is_leaving
    ]
    return members[min(ranked)[2]] if ranked else None
