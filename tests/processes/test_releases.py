"""Releases during crashes, suspensions, disk loss and partitions."""

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
        running.assert_positions_monotonic()


def test_concurrent_submissions_of_a_version_have_one_winner(fleet):
    """Guard against two releases that win the same version.

    Three control instances get one version with different content at
    once: one is accepted, and the others name the winner. A repeat of
    the winning body returns the same position everywhere.
    """
    bodies = [
        fleet.operator.build_submission(8, timeout_ms=1000 + number)
        for number in range(3)
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


def test_a_full_log_output_fails_no_submission(tmp_path):
    """Guard against an accepted release that is answered with 500.

    Writing the log line of an accepted submission failed on a full
    disk, and the error took the answer's place.
    """
    fleet = Fleet(tmp_path)
    for control in fleet.controls:
        control.folder.mkdir(parents=True, exist_ok=True)
        (control.folder / "log").symlink_to("/dev/full")
    with fleet:
        status, answer = post(
            fleet.controls[0], fleet.operator.build_submission(1)
        )
        assert (status, answer["position"]) == (200, 1)
        fleet.wait_position(1)


def test_a_killed_leader_loses_no_accepted_release(fleet):
    """Guard against the loss of an accepted release with its leader.

    The new leader must know the release and accept the next one, and
    the killed instance must catch up.
    """
    first = fleet.operator.build_submission(1)
    status, answer = post(fleet.controls[0], first)
    assert status == 200
    leader = fleet.leader
    fleet.mesh.kill(leader)
    others = [control for control in fleet.controls if control is not leader]
    fleet.wait("a new leader", lambda: fleet.leader not in (None, leader))
    assert post(others[0], first) == (
        200,
        {**answer, "outcome": "already_accepted"},
    )
    assert fleet.submit(2, via=others[1]) == 2
    fleet.mesh.start(leader)
    fleet.wait_position(2)


def test_a_resumed_leader_acknowledges_no_pending_submission(fleet):
    """Guard against a deposed leader that still accepts a release.

    The leader is suspended with a submission pending, while a new
    leader accepts the same version with other content. Once resumed,
    it must report the conflict.
    """
    fleet.submit(1)
    fleet.wait_position(1)
    suspended = fleet.leader
    others = [
        control for control in fleet.controls if control is not suspended
    ]
    late = fleet.operator.build_submission(2, timeout_ms=1111)
    fleet.mesh.send_signal(suspended, signal.SIGSTOP)
    with ThreadPoolExecutor() as pool:
        pending = pool.submit(post, suspended, late, 25.0)
        fleet.wait("a new leader", lambda: fleet.leader in others)
        accepted = fleet.submit(2, via=others[0], timeout_ms=2222)
        fleet.mesh.send_signal(suspended, signal.SIGCONT)
        status, answer = pending.result()
    assert (status, answer.get("winner_position")) == (409, accepted)
    fleet.wait_position(accepted)


def test_a_second_disk_loss_right_after_the_first_loses_nothing(fleet):
    """Guard against the loss of releases when two disks fail in a row.

    A member that lost its log must not vote before it holds the
    accepted releases again; then a second member may lose its log.
    """
    fleet.submit(1)
    lost = next(
        control for control in fleet.controls if control is not fleet.leader
    )
    fleet.mesh.kill(lost)
    shutil.rmtree(lost.folder / "data")
    fleet.submit(2)
    fleet.mesh.start(lost)

    def is_voter_again():
        # A member learns from its log that its new store has no vote
        # yet, and is no follower until it is promoted.
        state = fleet.status(lost) or {}
        return state.get("role") == "follower" and state["is_fresh"]

    fleet.wait("the lost member's promotion", is_voter_again)
    fleet.wait_position(2)
    second = next(
        control
        for control in fleet.controls
        if control not in (lost, fleet.leader)
    )
    fleet.mesh.kill(second)
    shutil.rmtree(second.folder / "data")
    assert fleet.submit(3, via=lost) == 3
    fleet.wait_position(3, [lost])


def test_killed_nodes_catch_up_after_many_releases(fleet):
    """Guard against nodes that cannot catch up after many releases.

    All nodes are killed, 28 releases follow, and all nodes restart.
    """
    instances = fleet.mesh.instances.values()
    nodes = [instance for instance in instances if not instance.is_control]
    fleet.submit(1)
    fleet.wait_position(1)
    for node in nodes:
        fleet.mesh.kill(node)
    for version in range(2, 30):
        fleet.submit(version, timeout_ms=1000 + version)
    for node in nodes:
        fleet.mesh.start(node)
    fleet.wait_position(29)


def test_a_cut_data_centre_does_not_go_back(tmp_path):
    """Guard against stale decisions in a data centre that is cut off.

    The cut control instance must notice that it is stale and refuse
    releases. Its node keeps its position, also over a restart, and
    catches up after the cut.
    """
    with Fleet(tmp_path, has_relays=True) as fleet:
        fleet.submit(1)
        fleet.wait_position(1)
        cut = {"temeke-c", "temeke-0"}
        fleet.mesh.cut(cut)
        rest = [
            instance
            for instance in fleet.mesh.instances.values()
            if instance.name not in cut
        ]
        fleet.wait(
            "a leader outside the cut data centre",
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
        # A node that restarts during the cut gets its release from the
        # control instance of its data centre.
        fleet.mesh.kill(fleet["temeke-0"])
        fleet.mesh.start(fleet["temeke-0"])
        fleet.wait_position(1, [fleet["temeke-0"]])
        fleet.mesh.heal()
        fleet.wait_position(2)
        fleet.assert_positions_monotonic()


def test_a_learner_takes_the_place_of_a_voter_that_stays_away(tmp_path):
    """Guard against the loss of the majority after two voters fail.

    A learner must replace the first voter, so that the second failure
    still leaves a majority.
    """
    with Fleet(tmp_path, learners=1) as fleet:
        fleet.submit(1)
        learner = fleet["learner-0"]
        fleet.wait_position(1, [learner])
        first, second = (
            control
            for control in fleet.controls
            if control.is_voter and control is not fleet.leader
        )
        fleet.mesh.kill(first)

        def is_replaced():
            # Until the first voter is demoted four members vote, and a
            # second loss would leave two of them.
            members = (fleet.status(fleet.leader) or {}).get("members", [])
            roles = {member["name"]: member["role"] for member in members}
            voters = {name for name in roles if roles[name] == "voter"}
            return learner.name in voters and first.name not in voters

        fleet.wait("the learner's vote in place of the first", is_replaced)
        fleet.wait(
            "the learner to learn of its vote",
            lambda: fleet.status(learner)["role"] == "follower",
        )
        fleet.mesh.kill(second)
        assert fleet.submit(2, via=learner) == 2
        # The replaced voter comes back as a learner.
        fleet.mesh.start(first)
        fleet.wait_position(2, [first])
        fleet.assert_positions_monotonic()
