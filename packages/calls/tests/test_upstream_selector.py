import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.candidate_view import Eligibility
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import DuplicateEndpoint, EndpointTable
from rhubarbhollow_calls.upstream_evidence import SLOW_START_SECONDS
from rhubarbhollow_calls.upstream_selector import (
    FAILURES_TO_EJECT,
    UNREACHABLE_TO_EJECT,
    UnstartedCall,
    UpstreamSelector,
)
from rhubarbhollow_wire.clock import ManualClock

ANSWERED, BROKEN = CallResult.ANSWERED, CallResult.BROKEN
REFUSED, UNREACHABLE = CallResult.REFUSED_NOT_RUN, CallResult.UNREACHABLE


def endpoint(name: str, **changes: object) -> Endpoint:
    """Build an endpoint; its data centre is its first letter."""
    up = EndpointState.UP
    made = Endpoint(name, "s", name[0], name, "h", 1, 9, up, 1, -1000.0)
    return replace(made, **changes)  # type: ignore[arg-type]


class Bench:
    """Drive an ``UpstreamSelector`` with a manual clock."""

    def __init__(self, *endpoints: Endpoint, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.book = UpstreamSelector("a", self.clock, random.Random(seed))
        self.version = 0
        self.use(*endpoints)

    def use(self, *endpoints: Endpoint) -> None:
        self.version += 1
        self.book.replace(EndpointTable(self.version, endpoints))

    def end(self, name: str, result: CallResult, times: int = 1) -> None:
        for _ in range(times):
            self.book.started(name)
            self.book.finished(name, result, 0.006)

    def picks(self, count: int = 400, excluded: set[str] = set()) -> Counter:  # noqa: B006
        chosen = (self.book.choose("s", excluded) for _ in range(count))
        return Counter(e.name for e in chosen if e is not None)

    def ranks(self) -> dict[str, Eligibility]:
        views = self.book.explain("s")
        return {view.endpoint.name: view.eligibility for view in views}


def four() -> Bench:
    return Bench(*(endpoint(name) for name in ("a1", "a2", "b1", "b2")))


def test_local_upstreams_are_preferred() -> None:
    bench = four()
    assert set(bench.picks()) == {"a1", "a2"}
    assert set(bench.picks(excluded={"a1"})) == {"a2"}
    assert set(bench.picks(excluded={"a1", "a2"})) == {"b1", "b2"}
    assert not bench.picks(excluded={"a1", "a2", "b1", "b2"})
    assert bench.book.choose("unknown", ()) is None
    assert bench.book.explain("unknown") == ()


@pytest.mark.parametrize("why", ["full", "refusing", "ejected"])
def test_calls_spill_over_and_return(why: str) -> None:
    bench = four()
    for name in ("a1", "a2"):
        if why == "full":
            for _ in range(9):
                bench.book.started(name)
        else:
            times = FAILURES_TO_EJECT if why == "ejected" else 1
            bench.end(name, BROKEN if why == "ejected" else REFUSED, times)
    assert set(bench.picks()) == {"b1", "b2"}
    for name in ("b1", "b2"):
        bench.end(name, ANSWERED)
    # While the remote endpoints are excluded, the local ones serve.
    assert set(bench.picks(excluded={"b1", "b2"})) == {"a1", "a2"}
    bench.clock.advance(2)
    for name in ("a1", "a2"):
        if why == "full":
            for _ in range(9):
                bench.book.finished(name, ANSWERED, 0.006)
        bench.end(name, ANSWERED)
    assert set(bench.picks()) == {"a1", "a2"}


def test_leaving_endpoints_get_no_calls() -> None:
    bench = four()
    leaving = [
        endpoint(name, state=EndpointState.LEAVING) for name in ("a1", "a2")
    ]
    bench.use(*leaving, endpoint("b1"))
    assert set(bench.picks()) == {"b1"}
    bench.use(*leaving)
    assert not bench.picks()


def test_least_loaded_of_two_wins_and_reports_only_break_ties() -> None:
    bench = Bench(endpoint("a1"), endpoint("a2"))
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED)
    bench.book.report_load("a1", 0.9)
    # A tie is only broken if both endpoints have reported.
    assert set(bench.picks()) == {"a1", "a2"}
    bench.book.report_load("a2", 0.1)
    bench.book.report_load("gone", 0.1)
    assert set(bench.picks()) == {"a2"}
    bench.book.started("a2")
    assert set(bench.picks()) == {"a1"}


def test_slow_local_upstream_counts_as_full() -> None:
    bench = Bench(endpoint("a1"), endpoint("b1"))
    for name, seconds in (("a1", 0.010), ("b1", 0.006)):
        bench.book.started(name)
        bench.book.finished(name, ANSWERED, seconds)
    assert set(bench.picks()) == {"a1"}
    bench.book.started("a1")
    bench.book.finished("a1", ANSWERED, 0.1)
    assert set(bench.picks()) == {"b1"}
    assert set(bench.picks(excluded={"b1"})) == {"a1"}


def test_remote_upstreams_without_evidence_are_explored_little() -> None:
    bench = four()
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED)
    picks = bench.picks(4000)
    assert 0 < picks["b1"] + picks["b2"] < 100


def test_slow_upstream_gets_fewer_calls_and_is_tried_again() -> None:
    """Without decay of its latency it would never get a call again."""
    bench = Bench(endpoint("a1"), endpoint("a2"), endpoint("a3"))
    for name, seconds in (("a1", 0.006), ("a2", 0.006), ("a3", 0.5)):
        bench.book.started(name)
        bench.book.finished(name, ANSWERED, seconds)
    assert not bench.picks(900)["a3"]
    bench.clock.advance(500)
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED)
    # Its latency has decayed below theirs.
    assert bench.picks(900)["a3"] > 250


def test_fast_failures_do_not_attract_calls() -> None:
    """Failures that return quickly must not count as a low latency."""
    bench = Bench(endpoint("a1"), endpoint("a2"), endpoint("a3"))
    for _ in range(FAILURES_TO_EJECT - 1):
        for name in ("a1", "a2"):
            bench.end(name, ANSWERED)
        bench.book.started("a3")
        bench.book.finished("a3", CallResult.UPSTREAM_ERROR, 0.0001)
    assert bench.picks(900)["a3"] < 200


def test_upstream_that_never_answers_in_time_is_avoided() -> None:
    """Its calls all end as cancelled, which is the only evidence."""
    bench = Bench(endpoint("a1"), endpoint("a2"), endpoint("a3"))
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED)
    bench.book.started("a3")
    bench.book.finished("a3", CallResult.CANCELLED, 0.5)
    assert bench.picks(900)["a3"] < 150


def test_failures_and_slow_cancellations_count_and_decay() -> None:
    bench = Bench(endpoint("a1"), endpoint("a2"))
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED)
    bench.end("a2", CallResult.UPSTREAM_ERROR, 2)
    assert set(bench.picks()) == {"a1"}
    bench.clock.advance(1000)
    assert set(bench.picks()) == {"a1", "a2"}
    for name in ("a1", "a2"):
        bench.end(name, ANSWERED, 20)
    bench.book.started("a2")
    bench.book.finished("a2", CallResult.CANCELLED, 0.5)
    assert set(bench.picks()) == {"a1"}


@pytest.mark.parametrize("result", [BROKEN, CallResult.UPSTREAM_ERROR])
def test_a_slow_failure_raises_the_latency(result: CallResult) -> None:
    bench = Bench(endpoint("a1"))
    bench.end("a1", ANSWERED)
    bench.book.started("a1")
    bench.book.finished("a1", result, 0.506)
    (view,) = bench.book.explain("s")
    assert view.latency_seconds == pytest.approx(0.106)


def test_backoff_after_refusals_grows_to_a_limit() -> None:
    bench = Bench(endpoint("a1"))
    for longest in (0.015, 0.03, 0.06, 0.06):
        bench.end("a1", REFUSED)
        waits = 0
        while bench.ranks()["a1"] is Eligibility.REFUSING:
            bench.clock.advance(0.001)
            waits += 1
        assert longest / 3 <= waits / 1000 <= longest + 0.001
    bench.end("a1", ANSWERED)
    bench.end("a1", REFUSED)
    bench.clock.advance(0.016)
    assert bench.ranks()["a1"] is Eligibility.LOCAL


def test_new_endpoint_ramps_up() -> None:
    """A new endpoint must not get its full share at once."""
    bench = Bench(endpoint("a1"), endpoint("a2"))
    bench.use(endpoint("a1"), endpoint("a2"), endpoint("a3", joined_at=0.0))
    shares = []
    for _ in range(5):
        shares.append(bench.picks(2000)["a3"] / 2000)
        bench.clock.advance(SLOW_START_SECONDS / 4)
    assert shares == sorted(shares)
    assert shares[0] < 0.08
    assert shares[-1] == pytest.approx(1 / 3, abs=0.05)
    # Endpoints that are all new, as after a restart of this node, get
    # equal shares.
    fresh = Bench(*(endpoint(f"a{i}", joined_at=0.0) for i in range(3)))
    assert min(fresh.picks(900).values()) > 250


def test_ejection_grows_and_ends_on_probation() -> None:
    """After an ejection the endpoint gets one call at a time.

    One failure ejects it again, for longer.
    """
    bench = Bench(endpoint("a1"), endpoint("a2"), endpoint("a3"))
    bench.end("a1", UNREACHABLE, UNREACHABLE_TO_EJECT)
    terms = []
    for _ in range(7):
        assert "a1" not in bench.picks(50)
        remaining = 0.0
        while bench.ranks()["a1"] is Eligibility.EJECTED:
            bench.clock.advance(0.05)
            remaining += 0.05
        terms.append(remaining)
        assert bench.picks()["a1"]
        bench.book.started("a1")
        assert "a1" not in bench.picks(50)
        bench.book.finished("a1", UNREACHABLE, 0.0)
    assert 0.7 < terms[0] < 1.4
    assert 20 < terms[-1] < 40
    bench.clock.advance(60)
    bench.end("a1", ANSWERED)
    assert 0 < bench.picks(900)["a1"] < 120
    bench.clock.advance(SLOW_START_SECONDS)
    assert bench.picks(900)["a1"] > 200


@pytest.mark.parametrize(
    ("result", "ejected"), [(BROKEN, 2), (UNREACHABLE, 3)]
)
def test_ejection_is_bounded(result: CallResult, ejected: int) -> None:
    """If all endpoints fail, some must stay in use."""
    bench = four()
    for name in ("a1", "a2", "b1", "b2"):
        bench.end(name, result, 20)
    ranks = list(bench.ranks().values())
    assert ranks.count(Eligibility.EJECTED) == ejected
    assert bench.picks()
    # If a table contains only ejected endpoints, one is readmitted.
    bench.use(endpoint("a1"))
    assert bench.ranks()["a1"] is Eligibility.LOCAL
    assert bench.picks()["a1"]


def test_evidence_is_kept_until_a_new_incarnation() -> None:
    bench = four()
    bench.end("a1", BROKEN, FAILURES_TO_EJECT)
    bench.book.started("a2")
    bench.use(endpoint("a1"), endpoint("a3"))
    assert bench.ranks()["a1"] is Eligibility.EJECTED
    # The end of a call on an endpoint that was removed is no evidence.
    bench.book.finished("a2", BROKEN, 1.0)
    for _ in range(FAILURES_TO_EJECT):
        bench.book.started("a3")
    bench.use(endpoint("a1", incarnation=2), endpoint("a3", incarnation=2))
    assert bench.ranks()["a1"] is Eligibility.LOCAL
    for _ in range(FAILURES_TO_EJECT):
        bench.book.finished("a3", BROKEN, 1.0)
    view = bench.book.explain("s")[1]
    assert (view.in_flight, view.consecutive_failures) == (0, 0)
    assert bench.book.version == 3


@pytest.mark.parametrize("name", ["a1", "gone"])
def test_finishing_a_call_that_never_started_raises(name: str) -> None:
    with pytest.raises(UnstartedCall):
        four().book.finished(name, ANSWERED, 0.0)


def test_tables_reject_duplicate_names() -> None:
    with pytest.raises(DuplicateEndpoint):
        EndpointTable(1, [endpoint("a1"), endpoint("a1", service="t")])
    table = EndpointTable(4, [endpoint("a1"), endpoint("b1", service="t")])
    assert (table.version, table.services) == (4, ("s", "t"))
    assert table.named("b1") in table.of_service("t")
    assert len(table.endpoints) == 2


NAMES = ("a1", "a2", "a3", "b1", "b2")


class BookMachine(RuleBasedStateMachine):
    """Choose, end and replace at random; check each choice."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = four()
        self.in_flight: Counter[str] = Counter()
        self.incarnations = dict.fromkeys(NAMES, 1)

    @rule(excluded=st.sets(st.sampled_from(NAMES), max_size=3))
    def choose(self, excluded: set[str]) -> None:
        ranks = self.bench.ranks()
        chosen = self.bench.book.choose("s", excluded)
        allowed = {
            name: rank
            for name, rank in ranks.items()
            if name not in excluded and rank is not Eligibility.LEAVING
        }
        if chosen is None:
            assert not allowed
            return
        best = min(allowed.values())
        if allowed[chosen.name] != best:
            # A remote endpoint may be chosen before a local one that is
            # slow, or to explore its unknown latency.
            assert best is Eligibility.LOCAL
            assert allowed[chosen.name] is Eligibility.REMOTE
            assert self.is_spill_due(chosen.name)
        self.bench.book.started(chosen.name)
        self.in_flight[chosen.name] += 1

    def is_spill_due(self, remote: str) -> bool:
        views = {v.endpoint.name: v for v in self.bench.book.explain("s")}
        far = views[remote].latency_seconds
        near = [
            view.latency_seconds
            for view in views.values()
            if view.eligibility is Eligibility.LOCAL
        ]
        return any(
            seconds is not None and (far is None or seconds > 2 * far)
            for seconds in near
        )

    @rule(
        index=st.integers(0, 50),
        result=st.sampled_from(CallResult),
        seconds=st.sampled_from([0.0, 0.006, 1.0]),
    )
    def finish(self, index: int, result: CallResult, seconds: float) -> None:
        running = sorted(self.in_flight.elements())
        if not running:
            return
        name = running[index % len(running)]
        self.in_flight[name] -= 1
        self.bench.book.finished(name, result, seconds)

    @rule(
        kept=st.sets(st.sampled_from(NAMES)),
        leaving=st.sets(st.sampled_from(NAMES)),
        renewed=st.sets(st.sampled_from(NAMES), max_size=1),
    )
    def replace(
        self, kept: set[str], leaving: set[str], renewed: set[str]
    ) -> None:
        for name in renewed:
            self.incarnations[name] += 1
        states = {True: EndpointState.LEAVING, False: EndpointState.UP}
        self.bench.use(
            *(
                endpoint(
                    name,
                    state=states[name in leaving],
                    incarnation=self.incarnations[name],
                    joined_at=self.bench.clock.monotonic() - 5,
                )
                for name in sorted(kept)
            )
        )

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 20.0]))
    def advance(self, seconds: float) -> None:
        self.bench.clock.advance(seconds)

    @invariant()
    def counts_agree(self) -> None:
        for view in self.bench.book.explain("s"):
            assert view.in_flight == self.in_flight[view.endpoint.name]
            assert 0 < view.share <= 1
        up = [r for r in self.bench.ranks().values() if r < 6]
        assert bool(up) == (self.bench.book.choose("s", ()) is not None)


TestBookMachine = BookMachine.TestCase
TestBookMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)
