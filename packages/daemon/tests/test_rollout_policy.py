"""Guards the choice of upstreams by version at a node."""

from __future__ import annotations

from collections import Counter
from random import Random

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_daemon.rollout_policy import RolloutPolicy
from rhubarbhollow_rollout.messages import (
    RolloutExposure,
    RolloutReport,
    RolloutView,
)
from rhubarbhollow_rollout.node import NodeRollouts
from rhubarbhollow_wire.clock import ManualClock

ROUTE = "r"


class Node:
    """The selector of a node with upstreams of two versions."""

    def __init__(self, old: str = "v1", new: str = "v2") -> None:
        self.clock = ManualClock()
        self.clock.advance(100)
        self.outbox = Outbox()
        self.selector = UpstreamSelector("a", self.clock, Random(1))
        self.policy = RolloutPolicy(
            NodeRollouts(self.clock, Random(1)),
            self.selector,
            self.outbox,
            self.clock,
        )
        self.selector.use_versions(self.policy)
        first = [self.endpoint(f"o{index}", old) for index in range(4)]
        second = [self.endpoint(f"n{index}", new) for index in range(4)]
        self.selector.replace(EndpointTable(1, first))
        self.selector.replace(EndpointTable(2, first + second))
        self.revision = 0

    def endpoint(self, name: str, version: str) -> Endpoint:
        up = EndpointState.UP
        return Endpoint(name, "s", "a", name, "h", 1, 9, up, 1, 0.0, version)

    def hear(self, share: int, state: int = 1) -> None:
        self.revision += 1
        view = RolloutView("s", 1, self.revision, "v2", "", state, share, 0)
        self.policy.accept(RolloutExposure(0, 0, (view,)))
        for message in iter(self.outbox._maybe_next, None):
            assert isinstance(message, RolloutReport)
            self.policy.accept(RolloutExposure(message.sequence, 0, ()))

    def call(
        self, count: int = 300, result: CallResult = CallResult.ANSWERED
    ) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for _ in range(count):
            endpoint = self.selector.choose("s", ())
            assert endpoint is not None
            chosen[endpoint.version] += 1
            self.selector.started(endpoint.name, ROUTE)
            self.selector.finished(endpoint.name, result, 0.1, ROUTE)
        return chosen


def test_equal_versions_are_chosen_as_before() -> None:
    """A mesh without versions must not notice any of this."""
    divided = Node("", "")
    plain = Node("", "")
    plain.selector = UpstreamSelector("a", plain.clock, Random(1))
    plain.selector.replace(
        EndpointTable(
            2,
            [
                plain.endpoint(f"{kind}{n}", "")
                for kind in "on"
                for n in range(4)
            ],
        )
    )
    for _ in range(200):
        names = []
        for node in (divided, plain):
            endpoint = node.selector.choose("s", ())
            assert endpoint is not None
            names.append(endpoint.name)
            node.selector.started(endpoint.name, ROUTE)
            node.selector.finished(
                endpoint.name, CallResult.ANSWERED, 0.1, ROUTE
            )
        assert names[0] == names[1]


def test_a_new_version_gets_nothing_before_its_order() -> None:
    assert set(Node().call()) == {"v1"}


def test_the_share_and_the_outcomes() -> None:
    node = Node()
    node.hear(90)
    chosen = node.call(1000)
    assert 80 <= chosen["v2"] <= 90
    node.hear(1000)
    assert set(node.call()) == {"v2"}
    node.hear(1000, state=2)
    assert set(node.call()) == {"v2"}


def test_a_rolled_back_version_gets_nothing() -> None:
    node = Node()
    node.hear(90)
    node.call()
    node.hear(90, state=3)
    assert set(node.call()) == {"v1"}


def test_a_call_that_failed_is_repeated_at_the_old_version() -> None:
    node = Node()
    node.hear(1000)
    endpoint = node.selector.choose("s", {"n0"})
    assert endpoint is not None
    assert endpoint.version == "v1"


def test_failures_of_the_new_version_are_reported() -> None:
    node = Node()
    node.hear(90)
    node.call(200)
    node.hear(1000)
    node.call(10, CallResult.UPSTREAM_ERROR)
    node.policy.report()
    (report,) = iter(node.outbox._maybe_next, None)
    assert isinstance(report, RolloutReport)
    (evidence,) = report.evidence
    assert evidence.route == ROUTE
    assert evidence.new_failed == 10
    assert evidence.stable_failed == 0


def test_an_ejected_upstream_of_the_new_version_is_avoided() -> None:
    """The groups must see ejections that begin after they were made."""
    node = Node()
    node.hear(1000)
    for _ in range(5):
        node.selector.started("n0", ROUTE)
        node.selector.finished("n0", CallResult.UPSTREAM_ERROR, 0.1, ROUTE)
    names = {node.selector.choose("s", ()).name for _ in range(100)}
    assert names == {"n1", "n2", "n3"}


def test_a_node_reports_nothing_without_a_rollout() -> None:
    node = Node()
    node.policy.report()
    assert node.outbox._maybe_next() is None
