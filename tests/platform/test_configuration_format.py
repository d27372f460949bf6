"""Translation of configuration documents to resources and back."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_release.difference import diff_resources
from rhubarbhollow_release.difference_codec import encode_difference
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.resource import resource_of
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import ResourceSet, join_resources


def rule(prefix="/a/", **changes):
    value = {
        "Name": "r-1",
        "Kind": "unsafe",
        "LatencyObjectiveS": 0.5,
        "Priority": 1,
        "Match": {"PathPrefix": prefix},
        "Action": {"Service": "desk", "TimeoutS": 0.8333, "MaxAttempts": 2},
    }
    return {**value, **changes}


def document(*rules, version="0000000c", **changes):
    value = {
        "Version": version,
        "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutS": 15.5},
        "Listeners": [
            {"Host": "Shop.example", "RuleTables": list(rules), "X": [1, {}]}
        ],
        "Clusters": [
            {"Name": "desk", "HealthPath": "/health", "Tls": False},
            {"Name": "bench", "ConnectionLimit": 110},
        ],
        "Unknown": {"b": None, "a": "\u00e9\n"},
    }
    return {**value, **changes}


def read(value):
    return ConfigurationFormat("mesh").read(json.dumps(value).encode())


def route_of(value):
    resources = read(value).ok_value
    return join_resources(resources).ok_value.routes[0]


def test_a_rule_becomes_a_route():
    route = route_of(document(rule()))
    assert (route.name, route.host, route.prefix) == (
        "r-1",
        "shop.example",
        "/a/",
    )
    assert (route.service, route.timeout_ms) == ("desk", 833)
    assert (route.rank, route.latency_ms) == (1, 500)
    assert route.retry_policy == "attempts-2"
    assert not route.is_idempotent


def test_a_split_keeps_its_weights():
    parts = [
        {"Service": "desk", "Weight": 90},
        {"Service": "bench", "Weight": 10},
    ]
    route = route_of(
        document(rule(Kind="safe", Action={"TrafficSplit": parts}))
    )
    assert [(one.service, one.weight) for one in route.splits] == [
        ("desk", 90.0),
        ("bench", 10.0),
    ]
    assert route.is_idempotent


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.lists(JSON, max_size=4), JSON, st.integers(1, 2**40))
def test_what_is_read_back_is_what_was_submitted(extras, other, version):
    rules = [
        rule(f"/p{index}/", Name=f"r-{index}", Extra=extra)
        for index, extra in enumerate(extras)
    ]
    value = document(*rules, version=f"{version:08x}", Other=other)
    format_ = ConfigurationFormat("mesh")
    resources = format_.read(json.dumps(value).encode())
    assert json.loads(format_.render(resources.ok_value)) == value


def test_a_noncanonical_version_is_rendered_as_submitted():
    """Upper case or fewer than eight digits must survive rendering."""
    value = document(rule(), version="0C")
    format_ = ConfigurationFormat("mesh")
    resources = format_.read(json.dumps(value).encode()).ok_value
    assert resources.header.version == 12
    assert json.loads(format_.render(resources)) == value


def test_a_change_costs_the_resources_that_changed():
    """Unchanged rules and clusters keep their resource objects.

    Decoding all of them again for each submission would make a small
    change to a large document as slow as its first submission.
    """
    format_ = ConfigurationFormat("mesh")
    rules = [rule(f"/p{n}/", Name=f"r-{n}") for n in range(50)]
    first = format_.read(json.dumps(document(*rules)).encode()).ok_value
    rules[7] = rule("/p7/", Name="r-7", Priority=3)
    changed = document(*rules, version="0000000d")
    second = format_.read(json.dumps(changed).encode()).ok_value
    before = {id(resource) for resource in first.resources}
    kept = [
        resource
        for resource in second.resources
        if resource.kind in (ResourceKind.ROUTE, ResourceKind.SERVICE)
        and id(resource) in before
    ]
    assert len(kept) == 51
    bodies = {resource.body for resource in first.resources}
    new = [one for one in second.resources if one.body not in bodies]
    assert [one.name for one in new] == ["r-7"]


def test_a_route_more_costs_few_bytes_in_a_large_document():
    """Guard against a difference that repeats the order of all routes.

    It goes to every control instance and node: 14 KB for 2,400 routes
    where the order is one note.
    """
    format_ = ConfigurationFormat("mesh")
    names = [f"r-{number * 7919 % 2400:x}" for number in range(2400)]
    rules = [rule(f"/{name}/", Name=name) for name in names]
    first = format_.read(json.dumps(document(*rules)).encode()).ok_value
    rules.insert(1234, rule("/new/", Name="r-new"))
    changed = document(*rules, version="0000000d")
    second = format_.read(json.dumps(changed).encode()).ok_value
    difference = encode_difference(diff_resources(first, second))
    assert len(difference) < 700
    assert json.loads(format_.render(second)) == changed


def test_a_release_that_keeps_the_order_in_one_note_is_rendered():
    """Releases that earlier versions have stored stay readable."""
    value = document(rule(), rule("/b/", Name="r-2"))
    format_ = ConfigurationFormat("mesh")
    resources = format_.read(json.dumps(value).encode()).ok_value
    order = {"listeners": [["r-1", "r-2"]], "clusters": ["desk", "bench"]}
    kept = [
        one
        for one in resources.resources
        if one.kind is not ResourceKind.NOTE or one.name == "frame"
    ]
    old = [*kept, resource_of(Note("order", json.dumps(order)))]
    stored = ResourceSet(resources.header, tuple(old))
    assert json.loads(format_.render(stored)) == value


@pytest.mark.parametrize(
    "value",
    [
        document(rule(Action={"Service": "none"})),
        document(rule(Action={"TrafficSplit": []})),
        document(rule(Action={})),
        document(
            rule(Action={"TrafficSplit": [{"Service": "desk", "Weight": 0}]})
        ),
        document(
            rule(
                Action={
                    "TrafficSplit": [
                        {"Service": "desk", "Weight": -1},
                        {"Service": "bench", "Weight": 5},
                    ]
                }
            )
        ),
        document(rule("a/")),
        document(rule(), Listeners=[{"Host": "", "RuleTables": []}]),
        document(rule(), Listeners=[{"RuleTables": []}]),
        document(rule(), Listeners=[{"Host": "a"}]),
        document(rule(), Version="-1"),
        document(rule(), Version=7),
        document(rule(), Version="00000000"),
        document(rule(), rule()),
        {"Version": "00000001"},
        [],
    ],
)
def test_an_invalid_document_is_rejected_with_a_detail(value):
    outcome = read(value)
    assert isinstance(outcome, Err)
    assert outcome.err_value.detail


@pytest.mark.parametrize("cut", [1, 10, 100, 300])
def test_a_truncated_document_is_rejected(cut):
    data = json.dumps(document(rule())).encode()
    assert isinstance(ConfigurationFormat("mesh").read(data[:-cut]), Err)


def test_a_rejected_document_does_not_affect_the_next_one():
    """A rejected document must leave no resources in the cache."""
    format_ = ConfigurationFormat("mesh")
    bad = document(rule(Action={"Service": "none"}))
    assert isinstance(format_.read(json.dumps(bad).encode()), Err)
    good = json.dumps(document(rule())).encode()
    assert isinstance(format_.read(good), Ok)
