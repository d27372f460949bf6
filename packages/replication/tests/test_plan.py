"""Tests of membership planning and quorums."""

from __future__ import annotations

from dataclasses import replace

import pytest
from result import Err

from rhubarbhollow_replication.configuration import (
    Configuration,
    decode_configuration,
)
from rhubarbhollow_replication.fault import (
    AlreadyMember,
    IsLeader,
    NotCaughtUp,
    QuorumAtRisk,
    UnknownMember,
)
from rhubarbhollow_replication.member import Member, MemberRole
from rhubarbhollow_replication.membership_change import (
    AddLearner,
    PromoteLearner,
    RemoveMember,
)
from rhubarbhollow_replication.membership_view import MembershipView
from rhubarbhollow_replication.plan import plan_repair, plan_request
from rhubarbhollow_replication.progress import Progress
from rhubarbhollow_replication.settings import ReplicaSettings

NOW = 100.0


def members(text):
    """Parse members: ``a1`` is a voter, ``(d1)`` a learner.

    The word is the store ID and its first letter the member's name.
    """
    found = []
    for word in text.split():
        role = MemberRole.LEARNER if "(" in word else MemberRole.VOTER
        store_id = word.strip("()")
        found.append(Member(store_id[0], store_id, role))
    return Configuration(tuple(sorted(found, key=lambda m: m.name)))


def view(configuration, peers):
    """Parse the peers of a view with leader ``a``.

    ``b1`` is a peer with its last contact now, ``b1-9`` one with its
    last contact 9 s ago. A trailing ``<`` marks a peer that lacks
    committed entries.
    """
    progress = {}
    for word in peers.split():
        lag = word.endswith("<")
        store_id, _, age = word.strip("<").partition("-")
        progress[store_id[0]] = Progress(
            next_index=10,
            last_contact_at=NOW - float(age or 0),
            match_index=4 if lag else 5,
            store_id=store_id,
        )
    return MembershipView(
        configuration=members(configuration),
        leader="a",
        peers=progress,
        commit_index=5,
        wanted_voters=3,
        now=NOW,
        alive_seconds=1.0,
        unresponsive_seconds=60.0,
    )


@pytest.mark.parametrize(
    ("before", "peers", "after"),
    [
        # Nothing to repair.
        ("a1 b1 c1", "b1 c1", None),
        ("a1 b1 c1 (d1)", "b1 c1 d1", None),
        # A lost disk is demoted, then promoted once it is caught up.
        ("a1 b1 c1", "b2 c1", "a1 (b2) c1"),
        ("a1 (b2) c1", "b2< c1", None),
        ("a1 (b2) c1", "b2 c1", "a1 b2 c1"),
        ("a1 (b2) c1", "b2-5 c1", None),
        ("a1 (b2) c1", "b3 c1", "a1 (b3) c1"),
        # The remaining voters would have no quorum.
        ("a1 b1 c1", "b2 c1-5", None),
        ("a1 b1 c1", "b2 c2", None),
        # Only a caught-up learner replaces an unresponsive voter.
        ("a1 b1 c1", "b1-70 c1", None),
        ("a1 b1 c1 (d1)", "b1-70 c1 d1<", None),
        ("a1 b1 c1 (d1)", "b1-70 c1 d1-5", None),
        ("a1 b1 c1 (d1)", "b1-70 c1 d1", "a1 b1 c1 d1"),
        ("a1 b1 c1 d1", "b1-70 c1 d1", "a1 (b1) c1 d1"),
        ("a1 b1 c1 d1", "b1 c1-2 d1", "a1 b1 (c1) d1"),
        ("a1 b1 c1 d1", "b1-70 c1-70 d1", None),
        ("a1 b1 c1 (d1)", "b1-50 c1 d1", None),
        # A partitioned leader has no quorum and changes nothing.
        ("a1 b1 c1 (d1)", "b1-70 c1-70 d1-70", None),
        ("a1 b1 c1 (d1)", "b1-70 c1-70 d1", None),
    ],
)
def test_repair(before, peers, after):
    """Check the next repair for a configuration and its peers.

    A repair must never leave a configuration without a live quorum.
    """
    planned = plan_repair(view(before, peers))
    assert planned == (members(after) if after else None)


@pytest.mark.parametrize(
    ("before", "peers", "change", "after"),
    [
        ("a1 b1 c1", "b1 c1", AddLearner("b"), AlreadyMember("b")),
        ("a1 b1 c1", "b1 c1", PromoteLearner("d"), UnknownMember("d")),
        ("a1 b1 c1", "b1 c1", PromoteLearner("b"), AlreadyMember("b")),
        ("a1 b1 (c1)", "b1 c1<", PromoteLearner("c"), NotCaughtUp("c")),
        ("a1 b1 (c1)", "b1-5 c1", PromoteLearner("c"), QuorumAtRisk()),
        ("a1 b1 (c1)", "b1 c1", PromoteLearner("c"), "a1 b1 c1"),
        ("a1 b1 c1 (d1)", "b1-5 c1-5 d1", PromoteLearner("d"), QuorumAtRisk()),
        ("a1 b1 c1", "b1 c1", RemoveMember("d"), UnknownMember("d")),
        ("a1 b1 c1", "b1 c1", RemoveMember("a"), IsLeader("a")),
        ("a1 b1 c1", "b1 c1-5", RemoveMember("b"), QuorumAtRisk()),
        ("a1 b1 c1", "b1 c1-5", RemoveMember("c"), "a1 b1"),
        ("a1 b1 (c1)", "b1 c1-5", RemoveMember("c"), "a1 b1"),
    ],
)
def test_change_requests(before, peers, change, after):
    """Check the result of accepted and rejected change requests."""
    planned = plan_request(view(before, peers), change)
    if isinstance(after, str):
        assert planned.unwrap() == members(after)
    else:
        assert planned == Err(after)


def test_added_learner_has_no_bound_store():
    """Check that an added learner is unbound until its first reply."""
    added = plan_request(view("a1 b1", "b1"), AddLearner("c")).unwrap()
    assert added.find("c") == Member("c", "", MemberRole.LEARNER)
    assert decode_configuration(added.encode()) == added


@pytest.mark.parametrize(
    ("text", "names", "expected"),
    [
        ("a1 b1 c1", "ab", True),
        ("a1 b1 c1", "a", False),
        ("a1 b1 c1 d1", "ab", False),
        ("a1 b1 c1 d1", "abd", True),
        ("a1 b1 (c1)", "ac", False),
        ("a1", "a", True),
        ("(a1)", "a", False),
    ],
)
def test_quorum(text, names, expected):
    """Check that only voters count toward a quorum."""
    configuration = members(text)
    assert configuration.is_quorum(set(names)) == expected
    values = {name: 7 if name in names else 3 for name in "abcd"}
    reached = 7 if expected else 3 if configuration.voters else 0
    assert configuration.quorum_value(values) == reached


@pytest.mark.parametrize(
    ("before", "peers"),
    [("a1", ""), ("a1 b1 c1", "b1 c1"), ("a1 b1 c1 (d1)", "b1-90 c1 d1")],
)
def test_unknown_number_of_voters_disables_repairs(before, peers):
    """Check that no voter is replaced if the number is unknown.

    With a target of zero, every voter would count as surplus and be
    demoted.
    """
    unknown = replace(view(before, peers), wanted_voters=0)
    assert plan_repair(unknown) is None


@pytest.mark.parametrize(
    ("members", "wanted", "target"),
    [(("a", "b", "c"), 0, 3), ((), 3, 3), ((), 0, 0), (("a",), 3, 3)],
)
def test_voter_target_prefers_wanted_voters(members, wanted, target):
    """Check that the voter target is kept without initial members.

    Otherwise a replica restarted without them would aim for zero.
    """
    settings = ReplicaSettings("a", members, wanted_voters=wanted)
    assert settings.voter_target == target


@pytest.mark.parametrize(
    ("before", "peers", "after"),
    [
        # A learner alone in its place gets the vote of one of two.
        ("a1 (b1) c1 x1", "b1 c1 x1", "a1 b1 c1 x1"),
        ("a1 b1 c1 x1", "b1 c1 x1", "a1 b1 c1 (x1)"),
        ("a1 b1 c1 (x1)", "b1 c1 x1", None),
        # The leader keeps its own vote.
        ("a1 (b1) c1 z1", "b1 c1 z1", "a1 b1 c1 z1"),
        ("a1 b1 c1 z1", "b1 c1 z1", "a1 b1 (c1) z1"),
        # One voter more or less in a place is no reason.
        ("a1 b1 c1 w1 x1 (y1)", "b1 c1 w1 x1 y1", None),
        # Nothing is moved while a voter or the learner is silent.
        ("a1 (b1) c1 x1", "b1 c1-2 x1", None),
        ("a1 (b1) c1 x1", "b1-2 c1 x1", None),
        ("a1 (b1) c1 x1", "b1< c1 x1", None),
        # A silent voter is demoted before one from a crowded place.
        ("a1 b1 c1 x1", "b1 c1-2 x1", "a1 b1 (c1) x1"),
        # The vote of a silent voter goes to the emptiest place.
        ("a1 b1 c1 (x1) (y1)", "b1-70 c1 x1 y1", "a1 b1 c1 (x1) y1"),
        ("a1 b1 c1 (x1)", "b1-70 c1 x1", "a1 b1 c1 x1"),
    ],
)
def test_votes_are_spread_over_the_places(before, peers, after):
    """Check the repairs that keep the loss of a place harmless."""
    places = {"a": "1", "x": "1", "b": "2", "y": "2", "c": "3", "z": "3"}
    wanted = 5 if "w" in before else 3
    spread = replace(
        view(before, peers),
        place_of=lambda name: places.get(name, ""),
        wanted_voters=wanted,
    )
    planned = plan_repair(spread)
    assert planned == (members(after) if after else None)
