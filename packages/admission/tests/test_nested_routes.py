"""Routes that upstreams call, told from those of clients."""

import random

import pytest

from rhubarbhollow_admission.nested_routes import (
    MIN_RUN,
    PROOF_SECONDS,
    NestedRoutes,
)


def play(lookup_origins, client_origins, calls=4 * MIN_RUN):
    rng = random.Random(3)
    routes = NestedRoutes()
    for number in range(calls):
        routes.record(b"lookup", rng.choice(lookup_origins), number / 100)
        routes.record(b"read", rng.choice(client_origins), number / 100)
    return routes, calls / 100


def test_a_route_called_from_one_service_only_is_nested():
    routes, now = play([b"frame"], [b"frame", b"ingest"])
    assert routes.is_nested(b"lookup", b"ingest", now)
    assert not routes.is_nested(b"read", b"ingest", now)


@pytest.mark.parametrize(
    ("lookup", "clients"),
    [
        ([b"frame", b"ingest"], [b"frame", b"ingest"]),
        # Clients use the nodes of one service, which proves nothing.
        ([b"frame"], [b"frame"]),
        # The node's own service: clients may be among the callers.
        ([b"ingest"], [b"frame", b"ingest"]),
        ([b""], [b"frame", b"ingest"]),
    ],
    ids=["mixed", "unproven", "own", "unknown"],
)
def test_a_route_that_clients_may_call_is_not_nested(lookup, clients):
    """Guard against client calls that wait until their deadline."""
    routes, now = play(lookup, clients)
    assert not routes.is_nested(b"lookup", b"ingest", now)


def test_one_call_from_elsewhere_ends_it():
    routes, now = play([b"frame"], [b"frame", b"ingest"])
    routes.record(b"lookup", b"ingest", now)
    assert not routes.is_nested(b"lookup", b"ingest", now)


def test_the_proof_expires():
    routes, now = play([b"frame"], [b"frame", b"ingest"])
    later = now + PROOF_SECONDS + 1
    assert not routes.is_nested(b"lookup", b"ingest", later)


def test_too_few_calls_prove_nothing():
    routes, now = play([b"frame"], [b"a", b"b"], calls=MIN_RUN - 1)
    assert not routes.is_nested(b"lookup", b"ingest", now)
