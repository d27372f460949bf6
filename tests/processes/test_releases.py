"""Releases under kills, freezes, lost disks, races and cuts."""

from __future__ import annotations

import shutil
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.processes.fleet import Fleet
from tests.processes.operator import post


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        yield running
        running.assert_no_node_went_back()


def test_operators_race_with_equal_versions(fleet):
    bodies = [
        fleet.operator.body(8, timeout_ms=1000 + number) for number in range(3)
    ]
    with ThreadPoolExecutor() as pool:
        answers = list(pool.map(post, fleet.controls, bodies))
    winners = [answer for status, answer in answers if status == 200]
    losers = [answer for status, answer in answers if status == 409]
    assert len(winners) == 1
    assert len(losers) == 2
    assert {loser["winner_digest"] for loser in losers} == {
        winners[0]["digest"]
    }
    winning = bodies[[status for status, _ in answers].index(200)]
    for control in fleet.controls:
        status, again = post(control, winning)
        assert status == 200
        assert again["position"] == winners[0]["position"]
    fleet.wait_position(1)


def test_the_leader_is_killed(fleet):
    first = fleet.operator.body(1)
    status, answer = post(fleet.controls[0], first)
    assert status == 200
    leader = fleet.leader
    fleet.mesh.kill(leader)
    others = [one for one in fleet.controls if one is not leader]
    fleet.wait("a new leader", lambda: fleet.leader not in (None, leader))
    assert post(others[0], first) == (
        200,
        {**answer, "outcome": "already_accepted"},
    )
    assert fleet.submit(2, via=others[1]) == 2
    fleet.mesh.start(leader)
    fleet.wait_position(2)


def test_a_frozen_leader_acknowledges_nothing_when_it_wakes(fleet):
    fleet.submit(1)
    fleet.wait_position(1)
    frozen = fleet.leader
    others = [one for one in fleet.controls if one is not frozen]
    late = fleet.operator.body(2, timeout_ms=1111)
    fleet.mesh.send_signal(frozen, signal.SIGSTOP)
    with ThreadPoolExecutor() as pool:
        pending = pool.submit(post, frozen, late, 25.0)
        fleet.wait("a new leader", lambda: fleet.leader in others)
        accepted = fleet.submit(2, via=others[0], timeout_ms=2222)
        fleet.mesh.send_signal(frozen, signal.SIGCONT)
        status, answer = pending.result()
    assert (status, answer.get("winner_position")) == (409, accepted)
    fleet.wait_position(accepted)


def test_a_lost_disk_and_a_second_loss_right_after(fleet):
    fleet.submit(1)
    lost = next(one for one in fleet.controls if one is not fleet.leader)
    fleet.mesh.kill(lost)
    shutil.rmtree(lost.folder / "data")
    fleet.submit(2)
    fleet.mesh.start(lost)

    def is_voter_again():
        # a member knows from its log that its new store has no vote yet
        state = fleet.status(lost) or {}
        return state.get("role") == "follower" and state["is_fresh"]

    fleet.wait("the lost member's promotion", is_voter_again)
    fleet.wait_position(2)
    second = next(
        one for one in fleet.controls if one not in (lost, fleet.leader)
    )
    fleet.mesh.kill(second)
    shutil.rmtree(second.folder / "data")
    assert fleet.submit(3, via=lost) == 3
    fleet.wait_position(3, [lost])


def test_a_herd_dies_and_returns_after_many_changes(fleet):
    nodes = fleet.mesh.instances.values()
    herd = [one for one in nodes if not one.is_control]
    fleet.submit(1)
    fleet.wait_position(1)
    for node in herd:
        fleet.mesh.kill(node)
    for version in range(2, 30):
        fleet.submit(version, timeout_ms=1000 + version)
    for node in herd:
        fleet.mesh.start(node)
    fleet.wait_position(29)


def test_a_cut_data_centre_does_not_go_back(tmp_path):
    with Fleet(tmp_path, has_relays=True) as fleet:
        fleet.submit(1)
        fleet.wait_position(1)
        cut = {"temeke-c", "temeke-0"}
        fleet.mesh.cut(cut)
        rest = [
            one for one in fleet.mesh.instances.values() if one.name not in cut
        ]
        fleet.wait(
            "a leader outside",
            lambda: fleet.leader not in (None, fleet["temeke-c"]),
        )
        fleet.wait(
            "the cut instance to notice",
            lambda: not fleet.status(fleet["temeke-c"])["is_fresh"],
        )
        fleet.submit(2, via=fleet["ilala-c"])
        fleet.wait_position(2, rest)
        assert fleet.position(fleet["temeke-0"]) == 1
        status, _ = fleet.operator.submit(fleet["temeke-c"], 3)
        assert status == 503
        # a node that restarts within the cut data centre serves again
        fleet.mesh.kill(fleet["temeke-0"])
        fleet.mesh.start(fleet["temeke-0"])
        fleet.wait_position(1, [fleet["temeke-0"]])
        fleet.mesh.heal()
        fleet.wait_position(2)
        fleet.assert_no_node_went_back()


def test_a_learner_takes_the_place_of_a_voter_that_stays_away(tmp_path):
    with Fleet(tmp_path, learners=1) as fleet:
        fleet.submit(1)
        learner = fleet["learner-0"]
        fleet.wait_position(1, [learner])
        first, second = (
            one
            for one in fleet.controls
            if one.is_voter and one is not fleet.leader
        )
        fleet.mesh.kill(first)

        def is_replaced():
            members = (fleet.status(fleet.leader) or {}).get("members", [])
            roles = {member["name"]: member["role"] for member in members}
            return roles.get(learner.name) == "voter"

        fleet.wait("the learner's vote", is_replaced)
        fleet.wait(
            "the learner to know it",
            lambda: fleet.status(learner)["role"] == "follower",
        )
        fleet.mesh.kill(second)
        assert fleet.submit(2, via=learner) == 2
        # the one that was replaced comes back as a learner
        fleet.mesh.start(first)
        fleet.wait_position(2, [first])
        fleet.assert_no_node_went_back()
