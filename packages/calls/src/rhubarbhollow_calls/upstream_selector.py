"""The choice of an upstream by the evidence that this node holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.candidate_view import CandidateView, Eligibility
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.placement import place_call
from rhubarbhollow_calls.placement_needs import PlacementNeeds
from rhubarbhollow_calls.service_evidence import ServiceEvidence
from rhubarbhollow_calls.service_times import ServiceTimes
from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence
from rhubarbhollow_calls.upstream_ranking import (
    best_ranked,
    better_of,
    rank_endpoint,
)
from rhubarbhollow_calls.version_groups import VersionGroups

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence
    from random import Random

    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.call_profile import CallProfile
    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.endpoint_table import EndpointTable
    from rhubarbhollow_calls.version_policy import VersionPolicy
    from rhubarbhollow_placement.upstream_load import UpstreamLoad
    from rhubarbhollow_wire.clock import Clock

# Consecutive failures after which an endpoint is ejected.
FAILURES_TO_EJECT: Final = 5
# Lower, because a failed connection may have taken its whole timeout.
UNREACHABLE_TO_EJECT: Final = 2
BASE_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0
MAX_EJECTION_DOUBLINGS: Final = 5
# A remote endpoint is preferred if the local latency exceeds this
# multiple of its own.
SPILLOVER_LATENCY_RATIO: Final = 2.0
# Share of calls sent to a remote endpoint whose latency is unknown.
EXPLORATION_SHARE: Final = 0.01
BASE_REFUSAL_SECONDS: Final = 0.01
MAX_REFUSAL_DOUBLINGS: Final = 2


_FAILURES: Final = frozenset(
    (
        CallResult.UPSTREAM_ERROR,
        CallResult.REFUSED_NOT_RUN,
        CallResult.BROKEN,
        CallResult.UNREACHABLE,
    )
)


class UnstartedCall(InvariantViolation):
    """Raised when a call ends on an endpoint with none in flight."""


class UpstreamSelector:
    """Choose upstreams and collect evidence about them.

    A call that is described by a ``CallProfile`` is placed by
    ``place_call``. For others, endpoints are ranked (see
    ``Eligibility``), two of the best rank are sampled with their
    slow-start shares as weights, and the one with the lower product of
    calls in flight, latency and failures is chosen (power of two
    choices). Evidence is kept across changes of the table unless the
    endpoint has a new incarnation.
    """

    def __init__(
        self, local_data_centre: str, clock: Clock, random: Random
    ) -> None:
        self._local_data_centre = local_data_centre
        self._clock = clock
        self._random = random
        self._by_name: dict[str, UpstreamEvidence] = {}
        # Endpoints removed from the table while calls are in flight.
        self._removed: dict[str, UpstreamEvidence] = {}
        self._by_service: dict[str, ServiceEvidence] = {}
        self._version = 0
        self._times = ServiceTimes()
        self._policy: VersionPolicy | None = None
        self._versions: VersionGroups | None = None

    def use_versions(self, policy: VersionPolicy) -> None:
        """Divide calls between versions as ``policy`` says."""
        self._policy = policy
        self._versions = VersionGroups(policy)
        self.refresh_versions()

    def refresh_versions(self) -> None:
        """Divide the endpoints anew after a change of the policy."""
        if self._versions is not None:
            self._versions.rebuild(self._by_service)

    @property
    def version(self) -> int:
        """Return the version of the table in use."""
        return self._version

    def replace(self, table: EndpointTable) -> None:
        """Use another table; keep the evidence on endpoints in both."""
        known = self._removed | self._by_name
        self._by_name = {
            endpoint.name: self._carried_over(endpoint, known)
            for endpoint in table.endpoints
        }
        self._removed = {
            name: evidence
            for name, evidence in known.items()
            if name not in self._by_name and evidence.in_flight
        }
        self._by_service = {
            service: ServiceEvidence(
                tuple(
                    self._by_name[endpoint.name]
                    for endpoint in table.of_service(service)
                )
            )
            for service in table.services
        }
        self._version = table.version
        now = self._clock.monotonic()
        for members in self._by_service.values():
            members.bound_ejections(now)
        self.refresh_versions()

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        profile: CallProfile | None = None,
    ) -> Endpoint | None:
        """Return the upstream for a call, or ``None``.

        With a ``profile`` the choice goes by the expected end of the
        call, which depends on the backlogs that nodes report; without
        one, by calls in flight and latency.
        """
        members = self._by_service.get(service)
        if members is None:
            return None
        versions = self._versions
        if versions is None or not versions.is_divided(service):
            return self._choose_among(members, excluded, profile)
        for group in versions.candidates(service, excluded):
            chosen = self._choose_among(group, excluded, profile)
            if chosen is not None:
                return chosen
        return None

    def started(
        self,
        endpoint_name: str,
        route: str = "",
        priority: CallPriority = CallPriority.INTERACTIVE,
    ) -> None:
        """Count a call as in flight on a chosen endpoint."""
        evidence = self._evidence(endpoint_name)
        evidence.in_flight += 1
        seconds = self._times.estimate(route.encode(), None)
        by_slot = seconds / max(1, evidence.endpoint.slots)
        evidence.sent_backlog = evidence.sent_backlog.plus(priority, by_slot)

    def report_backlog(self, endpoint_name: str, backlog: Backlog) -> None:
        """Record the backlog at the node beside an endpoint."""
        evidence = self._by_name.get(endpoint_name)
        if evidence is not None:
            evidence.observe_backlog(backlog, self._clock.monotonic())

    def report_loads(
        self,
        loads: Iterable[UpstreamLoad],
        speed_at: float | None = None,
    ) -> None:
        """Record the loads that upstreams' nodes have reported.

        ``speed_at`` is when the speeds were observed, if not just now.
        """
        now = self._clock.monotonic()
        for load in loads:
            evidence = self._by_name.get(load.name)
            if evidence is not None:
                evidence.observe_load(
                    load, now, now if speed_at is None else speed_at
                )

    def report_speed(self, endpoint_name: str, work_percent: int) -> None:
        """Record how long work takes at an endpoint, in percent."""
        evidence = self._by_name.get(endpoint_name)
        if evidence is not None:
            evidence.speed.observe(work_percent, self._clock.monotonic())

    def finished(
        self,
        endpoint_name: str,
        result: CallResult,
        latency_seconds: float,
        route: str = "",
        held_seconds: float | None = None,
    ) -> None:
        """Record the end of a started call as evidence.

        ``held_seconds`` is the time that it held its slot, if known.
        """
        if result is CallResult.ANSWERED and held_seconds is not None:
            self._record_service_time(endpoint_name, held_seconds, route)
        self._record_outcome(endpoint_name, result)
        evidence = self._evidence(endpoint_name)
        if self._policy is not None:
            seconds = latency_seconds if held_seconds is None else held_seconds
            self._policy.record(evidence.endpoint, route, result, seconds)
        if evidence.in_flight <= 0:
            raise UnstartedCall(
                f"endpoint {endpoint_name!r} has no call in flight"
            )
        evidence.in_flight -= 1
        if self._removed.get(endpoint_name) is evidence:
            if not evidence.in_flight:
                del self._removed[endpoint_name]
            return
        self._record_result(evidence, result, latency_seconds)
        evidence.stale_in_flight = min(
            evidence.stale_in_flight, evidence.in_flight
        )

    def report_load(self, endpoint_name: str, load: float) -> None:
        """Record a reported load, which is used only to break ties."""
        evidence = self._by_name.get(endpoint_name)
        if evidence is not None:
            evidence.reported_load = load

    def explain(self, service: str) -> tuple[CandidateView, ...]:
        """Describe the state of each endpoint of a service."""
        members = self._by_service.get(service)
        if members is None:
            return ()
        now = self._clock.monotonic()
        return tuple(_view(evidence, now) for evidence in members.all)

    def _choose_among(
        self,
        members: ServiceEvidence,
        excluded: Collection[str],
        profile: CallProfile | None,
    ) -> Endpoint | None:
        now = self._clock.monotonic()
        if profile is not None:
            return self._place(members, excluded, profile, now)
        chosen = self._maybe_choose(members, excluded, now)
        if chosen is None:
            return None
        if chosen.is_local and members.remote:
            remote = members.remote[self._random_index(len(members.remote))]
            if self._is_faster(remote, chosen, now) and (
                remote.endpoint.name not in excluded
            ):
                return remote.endpoint
        return chosen.endpoint

    def _carried_over(
        self, endpoint: Endpoint, known: dict[str, UpstreamEvidence]
    ) -> UpstreamEvidence:
        evidence = known.get(endpoint.name)
        if evidence is None:
            is_local = endpoint.data_centre == self._local_data_centre
            return UpstreamEvidence(endpoint, is_local)
        evidence.is_local = endpoint.data_centre == self._local_data_centre
        evidence.replace(endpoint)
        return evidence

    def _place(
        self,
        members: ServiceEvidence,
        excluded: Collection[str],
        profile: CallProfile,
        now: float,
    ) -> Endpoint | None:
        seconds = self._times.estimate(
            profile.route.encode(), profile.objective_seconds
        )
        needs = PlacementNeeds(
            seconds,
            profile.remaining_seconds,
            profile.priority,
            profile.route,
        )
        chosen = place_call(members.all, excluded, needs, now, self._random)
        return None if chosen is None else chosen.endpoint

    def _record_outcome(self, name: str, result: CallResult) -> None:
        evidence = self._by_name.get(name)
        if evidence is None:
            return
        if result is CallResult.ANSWERED:
            evidence.observe_end(is_failure=False)
        elif result in _FAILURES:
            evidence.observe_end(is_failure=True)

    def _record_service_time(
        self, name: str, seconds: float, route: str
    ) -> None:
        evidence = self._by_name.get(name)
        key = route.encode()
        if evidence is not None:
            seconds /= evidence.speed.factor(self._clock.monotonic())
        average = self._times.average(key)
        self._times.record(key, seconds)
        if evidence is not None and average:
            evidence.observe_slowness(seconds / average)

    def _evidence(self, name: str) -> UpstreamEvidence:
        evidence = self._by_name.get(name) or self._removed.get(name)
        if evidence is None:
            raise UnstartedCall(f"endpoint {name!r} is unknown")
        return evidence

    def _maybe_choose(
        self,
        members: ServiceEvidence,
        excluded: Collection[str],
        now: float,
    ) -> UpstreamEvidence | None:
        if now >= members.steady_at and not excluded:
            chosen = self._maybe_choose_steady(members.local, now)
            if chosen is not None:
                return chosen
        members.update_steady_at()
        candidates = best_ranked(members.all, excluded, now)
        return self._choose_from(candidates, now) if candidates else None

    def _is_faster(
        self, remote: UpstreamEvidence, local: UpstreamEvidence, now: float
    ) -> bool:
        local_latency = local.decayed_latency(now)
        if local_latency is None:
            return False
        if rank_endpoint(remote, now) is not Eligibility.REMOTE:
            return False
        remote_latency = remote.decayed_latency(now)
        if remote_latency is None:
            # A few calls explore it, since only calls give evidence.
            return self._random.random() < EXPLORATION_SHARE
        return local_latency > SPILLOVER_LATENCY_RATIO * remote_latency

    def _maybe_choose_steady(
        self, local: Sequence[UpstreamEvidence], now: float
    ) -> UpstreamEvidence | None:
        # Fast path for the usual case: two samples instead of a ranking
        # of all endpoints.
        if not local:
            return None
        chosen = self._better_of_two(local, now)
        return None if chosen.is_full else chosen

    def _choose_from(
        self, candidates: Sequence[UpstreamEvidence], now: float
    ) -> UpstreamEvidence:
        if len(candidates) == 1:
            return candidates[0]
        shares = [evidence.share(now) for evidence in candidates]
        if min(shares) >= 1:
            return self._better_of_two(candidates, now)
        # Sampled with replacement, so that the slow-start share limits
        # the calls that an endpoint gets.
        first, second = self._random.choices(candidates, shares, k=2)
        return first if first is second else better_of(first, second, now)

    def _better_of_two(
        self, members: Sequence[UpstreamEvidence], now: float
    ) -> UpstreamEvidence:
        count = len(members)
        if count == 1:
            return members[0]
        first = self._random_index(count)
        second = (first + 1 + self._random_index(count - 1)) % count
        return better_of(members[first], members[second], now)

    def _random_index(self, count: int) -> int:
        return int(self._random.random() * count)

    def _record_result(
        self, evidence: UpstreamEvidence, result: CallResult, seconds: float
    ) -> None:
        now = self._clock.monotonic()
        match result:
            case CallResult.ANSWERED:
                self._record_response(evidence, seconds, now)
            case CallResult.REFUSED_NOT_RUN:
                self._record_refusal(evidence, now)
            case CallResult.BUSY:
                # No evidence against shorter calls.
                pass
            case CallResult.CANCELLED:
                self._record_cancellation(evidence, seconds, now)
            case CallResult.UPSTREAM_ERROR:
                evidence.observe_latency_floor(seconds, now)
                self._record_failure(evidence, now, is_unreachable=False)
            case CallResult.BROKEN:
                evidence.observe_latency_floor(seconds, now)
                self._record_failure(evidence, now, is_unreachable=False)
            case CallResult.UNREACHABLE:
                self._record_failure(evidence, now, is_unreachable=True)

    def _record_response(
        self, evidence: UpstreamEvidence, seconds: float, now: float
    ) -> None:
        evidence.observe_latency(seconds, now)
        evidence.consecutive_failures = 0
        evidence.refusals = 0
        if evidence.is_on_probation and now >= evidence.ejected_until:
            evidence.is_on_probation = False
            evidence.ejections = 0
            evidence.slow_start_at = now
            self._update_steady_at(evidence)

    def _record_cancellation(
        self, evidence: UpstreamEvidence, seconds: float, now: float
    ) -> None:
        if evidence.latency_seconds is None:
            # For an upstream that never answers in time there is no
            # other evidence.
            evidence.observe_latency(seconds, now)
            return
        evidence.observe_latency_floor(seconds, now)

    def _record_refusal(self, evidence: UpstreamEvidence, now: float) -> None:
        doublings = min(evidence.refusals, MAX_REFUSAL_DOUBLINGS)
        evidence.refusals += 1
        seconds = BASE_REFUSAL_SECONDS * 2**doublings
        # Jitter keeps the callers of one node from retrying together.
        evidence.refusing_until = now + seconds * (0.5 + self._random.random())
        self._update_steady_at(evidence)

    def _record_failure(
        self, evidence: UpstreamEvidence, now: float, *, is_unreachable: bool
    ) -> None:
        if evidence.stale_in_flight:
            # The call started on an earlier incarnation.
            evidence.stale_in_flight -= 1
            return
        evidence.consecutive_failures += 1
        evidence.failed_at = now
        limit = UNREACHABLE_TO_EJECT if is_unreachable else FAILURES_TO_EJECT
        is_due = evidence.is_on_probation or (
            evidence.consecutive_failures >= limit
        )
        if is_due and now >= evidence.ejected_until:
            self._maybe_eject(evidence, now, is_unreachable=is_unreachable)

    def _maybe_eject(
        self, evidence: UpstreamEvidence, now: float, *, is_unreachable: bool
    ) -> None:
        members = self._members_of(evidence)
        if not members.may_eject(now, is_unreachable=is_unreachable):
            return
        doublings = min(evidence.ejections, MAX_EJECTION_DOUBLINGS)
        seconds = min(
            MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**doublings
        )
        evidence.ejections += 1
        evidence.is_on_probation = True
        # On probation the endpoint is chosen without a penalty for its
        # earlier failures, and a single failure ejects it again.
        evidence.consecutive_failures = 0
        evidence.ejected_until = now + seconds * (
            0.75 + self._random.random() / 2
        )
        self._update_steady_at(evidence)
        members.check(now)

    def _update_steady_at(self, evidence: UpstreamEvidence) -> None:
        self._members_of(evidence).update_steady_at()
        if self._versions is not None:
            self._versions.update_steady_at(evidence.endpoint.service)

    def _members_of(self, evidence: UpstreamEvidence) -> ServiceEvidence:
        return self._by_service[evidence.endpoint.service]


def _view(evidence: UpstreamEvidence, now: float) -> CandidateView:
    return CandidateView(
        endpoint=evidence.endpoint,
        eligibility=rank_endpoint(evidence, now),
        in_flight=evidence.in_flight,
        latency_seconds=evidence.decayed_latency(now),
        consecutive_failures=evidence.consecutive_failures,
        refusals=evidence.refusals,
        remaining_seconds=max(0.0, evidence.steady_at - now),
        share=evidence.share(now),
        reported_load=evidence.reported_load,
    )
