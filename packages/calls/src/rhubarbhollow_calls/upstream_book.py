"""This node's own evidence on upstreams, and its choice by it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.candidate_view import CandidateView, Eligibility
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.endpoint_table import EndpointTable
    from rhubarbhollow_wire.clock import Clock

FAILURES_TO_EJECT: Final = 5
BASE_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0
MAX_EJECTION_DOUBLINGS: Final = 5
# endpoints that answer badly are ejected up to this share; those that
# cannot be reached, up to all but one
MAX_EJECTED_SHARE: Final = 0.5
BASE_REFUSAL_SECONDS: Final = 0.05
MAX_REFUSAL_DOUBLINGS: Final = 4
# scores closer than this are a tie, which reported load breaks
TIE_RATIO: Final = 1.1


class UnstartedCall(InvariantViolation):
    """A call was finished on an endpoint that had none in flight."""


class TooManyEjected(InvariantViolation):
    """All endpoints of a service were ejected at once."""


class UpstreamBook:
    """Choose upstreams by power of two choices on own evidence.

    Endpoints are ranked (see ``Eligibility``) and two of the best rank
    are drawn, by slow-start share; the one with the lower product of
    calls in flight and latency is chosen. Evidence survives a change
    of the table unless the endpoint has a new incarnation.
    """

    def __init__(
        self, local_data_centre: str, clock: Clock, random: Random
    ) -> None:
        self._local_data_centre = local_data_centre
        self._clock = clock
        self._random = random
        self._by_name: dict[str, UpstreamEvidence] = {}
        # endpoints that left the table with calls still in flight
        self._departed: dict[str, UpstreamEvidence] = {}
        self._by_service: dict[str, _ServiceEvidence] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return the version of the table in use."""
        return self._version

    def replace(self, table: EndpointTable) -> None:
        """Use another table, with the evidence on what it shares."""
        known = self._departed | self._by_name
        self._by_name = {
            endpoint.name: self._carried_over(endpoint, known)
            for endpoint in table.endpoints
        }
        self._departed = {
            name: evidence
            for name, evidence in known.items()
            if name not in self._by_name and evidence.in_flight
        }
        self._by_service = {
            service: _ServiceEvidence(
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

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return the upstream for a call, or nothing."""
        members = self._by_service.get(service)
        if members is None:
            return None
        now = self._clock.monotonic()
        if now >= members.steady_at and not excluded:
            chosen = self._maybe_choose_steady(members.local, now)
            if chosen is not None:
                return chosen.endpoint
        candidates = _best_ranked(members.all, excluded, now)
        if not candidates:
            return None
        return self._choose_of(candidates, now).endpoint

    def started(self, endpoint_name: str) -> None:
        """Count a call as in flight on a chosen endpoint."""
        self._evidence(endpoint_name).in_flight += 1

    def finished(
        self, endpoint_name: str, result: CallResult, latency_seconds: float
    ) -> None:
        """Take the end of a started call as evidence."""
        evidence = self._evidence(endpoint_name)
        if evidence.in_flight <= 0:
            raise UnstartedCall(endpoint_name)
        evidence.in_flight -= 1
        if self._departed.get(endpoint_name) is evidence:
            if not evidence.in_flight:
                del self._departed[endpoint_name]
            return
        self._learn(evidence, result, latency_seconds)

    def report_load(self, endpoint_name: str, load: float) -> None:
        """Note a reported load, which breaks ties and nothing else."""
        evidence = self._by_name.get(endpoint_name)
        if evidence is not None:
            evidence.reported_load = load

    def explain(self, service: str) -> tuple[CandidateView, ...]:
        """Return why each endpoint is or is not eligible."""
        members = self._by_service.get(service)
        if members is None:
            return ()
        now = self._clock.monotonic()
        return tuple(_view(evidence, now) for evidence in members.all)

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

    def _evidence(self, name: str) -> UpstreamEvidence:
        evidence = self._by_name.get(name) or self._departed.get(name)
        if evidence is None:
            raise UnstartedCall(name)
        return evidence

    def _maybe_choose_steady(
        self, local: Sequence[UpstreamEvidence], now: float
    ) -> UpstreamEvidence | None:
        # takes two draws instead of ranking all, in the usual case
        if not local:
            return None
        first = self._draw(local)
        second = self._draw(local)
        chosen = first if first is second else _better(first, second, now)
        return None if chosen.is_full else chosen

    def _choose_of(
        self, candidates: Sequence[UpstreamEvidence], now: float
    ) -> UpstreamEvidence:
        if len(candidates) == 1:
            return candidates[0]
        shares = [evidence.share(now) for evidence in candidates]
        first, second = self._random.choices(candidates, shares, k=2)
        return first if first is second else _better(first, second, now)

    def _draw(self, members: Sequence[UpstreamEvidence]) -> UpstreamEvidence:
        return members[int(self._random.random() * len(members))]

    def _learn(
        self, evidence: UpstreamEvidence, result: CallResult, seconds: float
    ) -> None:
        now = self._clock.monotonic()
        match result:
            case CallResult.ANSWERED:
                self._learn_answer(evidence, seconds, now)
            case CallResult.REFUSED_NOT_RUN:
                self._learn_refusal(evidence, now)
            case CallResult.CANCELLED:
                evidence.observe_latency_floor(seconds, now)
            case CallResult.UPSTREAM_ERROR:
                evidence.observe_latency_floor(seconds, now)
                self._learn_failure(evidence, now, is_unreachable=False)
            case CallResult.BROKEN:
                evidence.observe_latency_floor(seconds, now)
                self._learn_failure(evidence, now, is_unreachable=False)
            case CallResult.UNREACHABLE:
                self._learn_failure(evidence, now, is_unreachable=True)

    def _learn_answer(
        self, evidence: UpstreamEvidence, seconds: float, now: float
    ) -> None:
        evidence.observe_latency(seconds, now)
        evidence.consecutive_failures = 0
        evidence.refusals = 0
        if evidence.is_on_trial and now >= evidence.ejected_until:
            evidence.is_on_trial = False
            evidence.ejections = 0
            evidence.slow_start_at = now
            self._note_change(evidence)

    def _learn_refusal(self, evidence: UpstreamEvidence, now: float) -> None:
        doublings = min(evidence.refusals, MAX_REFUSAL_DOUBLINGS)
        evidence.refusals += 1
        seconds = BASE_REFUSAL_SECONDS * 2**doublings
        # jitter keeps the callers of one node from returning together
        evidence.refusing_until = now + seconds * (0.5 + self._random.random())
        self._note_change(evidence)

    def _learn_failure(
        self, evidence: UpstreamEvidence, now: float, *, is_unreachable: bool
    ) -> None:
        if evidence.stale_in_flight:
            # a call that began on an earlier incarnation
            evidence.stale_in_flight -= 1
            return
        evidence.consecutive_failures += 1
        is_due = (
            evidence.is_on_trial
            or evidence.consecutive_failures >= FAILURES_TO_EJECT
        )
        if is_due and now >= evidence.ejected_until:
            self._maybe_eject(evidence, now, is_unreachable=is_unreachable)

    def _maybe_eject(
        self, evidence: UpstreamEvidence, now: float, *, is_unreachable: bool
    ) -> None:
        members = self._by_service[evidence.endpoint.service]
        if not members.may_eject(now, is_unreachable=is_unreachable):
            return
        doublings = min(evidence.ejections, MAX_EJECTION_DOUBLINGS)
        seconds = min(
            MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**doublings
        )
        evidence.ejections += 1
        evidence.is_on_trial = True
        evidence.ejected_until = now + seconds * (
            0.75 + self._random.random() / 2
        )
        self._note_change(evidence)
        members.check(now)

    def _note_change(self, evidence: UpstreamEvidence) -> None:
        members = self._by_service[evidence.endpoint.service]
        members.steady_at = max(members.steady_at, evidence.steady_at)


class _ServiceEvidence:
    """Hold the evidence on the endpoints of one service."""

    __slots__ = ("all", "local", "steady_at")

    def __init__(self, members: tuple[UpstreamEvidence, ...]) -> None:
        self.all = members
        self.local = tuple(
            evidence
            for evidence in members
            if evidence.is_local and not evidence.is_leaving
        )
        # before this some endpoint differs by more than its load
        self.steady_at = max(
            (evidence.steady_at for evidence in members), default=0.0
        )

    def may_eject(self, now: float, *, is_unreachable: bool) -> bool:
        up, ejected = self._counts(now)
        limit = up - 1 if is_unreachable else int(up * MAX_EJECTED_SHARE)
        return ejected < limit

    def bound_ejections(self, now: float) -> None:
        """Readmit an endpoint if a new table left only ejected ones."""
        up, ejected = self._counts(now)
        if not up or ejected < up:
            return
        live = (e for e in self.all if not e.is_leaving)
        min(live, key=lambda e: e.ejected_until).ejected_until = now
        self.check(now)

    def check(self, now: float) -> None:
        up, ejected = self._counts(now)
        if up and ejected >= up:
            raise TooManyEjected

    def _counts(self, now: float) -> tuple[int, int]:
        live = [e for e in self.all if not e.is_leaving]
        return len(live), sum(e.ejected_until > now for e in live)


def _best_ranked(
    members: Sequence[UpstreamEvidence], excluded: Collection[str], now: float
) -> list[UpstreamEvidence]:
    best: list[UpstreamEvidence] = []
    best_rank = Eligibility.LEAVING
    for evidence in members:
        rank = _rank(evidence, now)
        if rank is Eligibility.LEAVING or evidence.endpoint.name in excluded:
            continue
        if rank < best_rank:
            best_rank = rank
            best = [evidence]
        elif rank is best_rank:
            best.append(evidence)
    return best


def _rank(evidence: UpstreamEvidence, now: float) -> Eligibility:
    if evidence.is_leaving:
        return Eligibility.LEAVING
    if evidence.ejected_until > now:
        return Eligibility.EJECTED
    if evidence.is_on_trial and evidence.in_flight:
        # one call at a time until the first answer
        return Eligibility.EJECTED
    if evidence.refusing_until > now:
        return Eligibility.REFUSING
    if evidence.is_full:
        if evidence.is_local:
            return Eligibility.LOCAL_FULL
        return Eligibility.REMOTE_FULL
    return Eligibility.LOCAL if evidence.is_local else Eligibility.REMOTE


def _better(
    first: UpstreamEvidence, second: UpstreamEvidence, now: float
) -> UpstreamEvidence:
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
    return first if first_score <= second_score else second


def _score(
    evidence: UpstreamEvidence, other: UpstreamEvidence, now: float
) -> float:
    latency = evidence.faded_latency(now)
    if latency is None:
        # unknown counts as equal, so that a newcomer draws no rush
        latency = other.faded_latency(now) or 1.0
    failures = 1 + evidence.consecutive_failures
    return (evidence.in_flight + 1) * latency * failures


def _view(evidence: UpstreamEvidence, now: float) -> CandidateView:
    return CandidateView(
        endpoint=evidence.endpoint,
        eligibility=_rank(evidence, now),
        in_flight=evidence.in_flight,
        latency_seconds=evidence.latency_seconds,
        consecutive_failures=evidence.consecutive_failures,
        refusals=evidence.refusals,
        remaining_seconds=max(0.0, evidence.steady_at - now),
        share=evidence.share(now),
        reported_load=evidence.reported_load,
    )
