"""Comparison of the fast closure check with the full one."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_release.closure import closure_of, is_closed
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.objectives import Objectives
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service
from rhubarbhollow_release.split import Split
from rhubarbhollow_release.tenant_entry import TenantEntry

NAMES = st.sampled_from(["a", "b", "c"])
OBJECTIVES = st.sampled_from(
    [None, Objectives(0.9, None, None), Objectives(0.9, 5, None)]
)
ITEMS = st.one_of(
    st.builds(
        Service,
        NAMES,
        st.lists(NAMES, max_size=2, unique=True).map(tuple),
        st.none() | NAMES,
        OBJECTIVES,
    ),
    st.builds(
        Route,
        NAMES,
        st.sampled_from(["x", "y"]),
        st.sampled_from(["/", "/p"]),
        NAMES,
        st.just(5),
        st.none() | NAMES,
        splits=st.lists(st.builds(Split, NAMES, st.just(1.0)), max_size=2).map(
            tuple
        ),
    ),
    st.builds(RetryPolicy, NAMES, st.just(1), st.just(0.1)),
    st.builds(Note, NAMES, st.just("t")),
    st.builds(
        TenantEntry,
        NAMES,
        st.lists(st.sampled_from(["0" * 64, "1" * 64]), max_size=2).map(tuple),
    ),
)


@given(st.lists(ITEMS, max_size=6))
def test_both_checks_agree(items):
    faults = list(closure_of(items).find_faults())
    assert is_closed(items) is (not faults)
