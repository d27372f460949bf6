from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_release.closure import closure_of
from rhubarbhollow_release.manifest_fault import FaultKind
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service

NAMES = st.sampled_from("abcdef")
SERVICES = st.builds(
    Service,
    NAMES,
    st.lists(NAMES, max_size=3, unique=True).map(tuple),
    st.none() | NAMES,
)
ROUTES = st.builds(
    Route,
    NAMES,
    st.just("*"),
    st.sampled_from(["/", "/a", "/b"]),
    NAMES,
    st.just(1),
    st.none() | NAMES,
)
POLICIES = st.builds(RetryPolicy, NAMES, st.just(2), st.just(0.5))


def has_duplicates(values):
    return len(set(values)) < len(values)


def has_cycle(edges):
    """Return whether any name reaches itself, by transitive closure."""
    reached = {(name, other) for name in edges for other in edges[name]}
    for _ in edges:
        reached |= {
            (start, other)
            for start, middle in reached
            for other in edges.get(middle, ())
        }
    return any(start == end for start, end in reached)


def naive_kinds(services, routes, policies):
    kinds = set()
    for items in (services, routes, policies):
        if has_duplicates([item.name for item in items]):
            kinds.add(FaultKind.DUPLICATE_NAME)
    if has_duplicates([(route.host, route.prefix) for route in routes]):
        kinds.add(FaultKind.DUPLICATE_MATCH)
    names = {service.name for service in services}
    wanted = {route.service for route in routes}
    wanted |= {name for service in services for name in service.depends_on}
    wanted |= {service.fallback for service in services}
    retries = {route.retry_policy for route in routes}
    known = {policy.name for policy in policies}
    if wanted - {None} - names or retries - {None} - known:
        kinds.add(FaultKind.MISSING_REFERENCE)
    # Of several services with one name, both checks follow the last.
    followed = {service.name: service for service in services}
    dependencies = {name: each.depends_on for name, each in followed.items()}
    fallbacks = {
        name: (each.fallback,)
        for name, each in followed.items()
        if each.fallback
    }
    if has_cycle(dependencies) or has_cycle(fallbacks):
        kinds.add(FaultKind.CYCLE)
    return kinds


# Compares the reported kinds of faults with a simple reference check.
@given(
    st.lists(SERVICES, max_size=6),
    st.lists(ROUTES, max_size=3),
    st.lists(POLICIES, max_size=3),
)
def test_finds_what_a_naive_check_finds(services, routes, policies):
    faults = list(closure_of([*services, *routes, *policies]).find_faults())
    kinds = {fault.kind for fault in faults}
    assert kinds == naive_kinds(services, routes, policies)
    for fault in faults:
        if fault.kind is FaultKind.CYCLE:
            names = fault.detail.split(" -> ")
            assert names[0] == names[-1]
            assert not has_duplicates(names[1:])


def test_a_long_chain_is_not_a_cycle():
    """Guard against recursion in the search for cycles.

    5,000 services in a chain would exceed Python's recursion limit.
    """
    chain = [Service(f"s{i}", (f"s{i + 1}",)) for i in range(5000)]
    items = [*chain, Service("s5000")]
    assert not list(closure_of(items).find_faults())
    ring = [*chain, Service("s5000", ("s0",))]
    faults = list(closure_of(ring).find_faults())
    assert [fault.kind for fault in faults] == [FaultKind.CYCLE]
