"""Dispatch of control messages in a node and the responses to them."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from result import Err, Ok

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    BurnRequest,
    ClaimAnswer,
    EndpointsRequest,
)
from rhubarbhollow_daemon.node_state import NodeState
from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.activation_result import AlreadyActive
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_table import NeedsEndpoints
from rhubarbhollow_distribution.held_release import HeldRelease
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_fault import (
    NeedsDifference,
    StalePosition,
)
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service

STAGE = object.__new__(Stage)
object.__setattr__(STAGE, "position", 4)
CHANGE = EndpointChange("c1/1", 3, 4, (), is_full=False)


class Parts:
    """Replace every part of the state and record the calls to it.

    Each call returns ``outcome``.
    """

    staged_position = 2
    held_digest = b"held"

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.calls = []

    def __getattr__(self, name):
        def record(*arguments):
            self.calls.append((name, *arguments))
            return self.outcome

        return record

    def queued(self):
        return [call[1] for call in self.calls if call[0] == "put"]


def state_of(parts):
    return NodeState("m", "n1", "ilala", 7, *([parts] * 12))


@pytest.mark.parametrize(
    ("message", "outcome", "queued"),
    [
        (STAGE, Ok("report"), ["report"]),
        (STAGE, Err(NeedsDifference(1, b"d")), [StageRequest(1, b"d")]),
        (STAGE, Err(StalePosition(1, 2)), []),
        (Activate(4, b"d"), Ok(AlreadyActive(5)), [ActiveReport(5)]),
        (Activate(4, b"d"), Err("unknown"), [StageRequest(2, b"held")]),
        (CHANGE, Ok(()), []),
        (CHANGE, Err(NeedsEndpoints("c1/1", 2)), [EndpointsRequest("n1")]),
        (BurnRequest(3), (), [BurnAnswer(3, ())]),
        ("noise", None, []),
    ],
)
def test_responses_to_control_messages(message, outcome, queued):
    """Guard against missing or wrong responses to messages."""
    parts = Parts(outcome)
    state_of(parts).handle_message(message)
    assert parts.queued() == queued


@pytest.mark.parametrize(
    ("message", "name"),
    [
        (ClaimAnswer(1, b""), "deliver"),
        (CrashReport(b"f", "n1/bench", 1, 0.0), "merge"),
        (
            ControlHeartbeat(
                is_fresh=True, latest_position=1, active_position=1
            ),
            "note_heartbeat",
        ),
        (CHANGE, "apply"),
    ],
)
def test_messages_are_passed_to_their_component(message, name):
    """Guard against messages that reach no part or the wrong one."""
    parts = Parts(Ok(()))
    state_of(parts).handle_message(message)
    assert (name, message) in parts.calls


def test_an_odd_endpoint_record_is_left_out_of_its_change():
    """A call must not meet an address that it cannot connect to."""
    good = EndpointRecord("u", "desk", "n2", "", "::1", 1, 9, 1, -1, 1, 1)
    odd = replace(good, name="v", peer_host="a..b")
    parts = Parts(Ok(()))
    change = replace(CHANGE, records=(odd, good))
    state_of(parts).handle_message(change)
    assert ("apply", replace(CHANGE, records=(good,))) in parts.calls


def test_no_routes_are_installed_without_an_active_release():
    """Guard against errors before the first release is active."""
    parts = Parts(SimpleNamespace())
    parts.active = None
    state_of(parts)._put_in_force()
    assert parts.calls == []


def release_of(position, *hosts):
    """Return a release with a route for each of the hosts."""
    routes = tuple(
        Route(f"r{number}", host, "/", "s", 500)
        for number, host in enumerate(hosts)
    )
    manifest = Manifest(1, "m", position, (Service("s"),), routes)
    resources = split_manifest(manifest)
    return HeldRelease(
        position, position, resources.digest, resources, manifest
    )


def test_a_release_that_cannot_be_applied_leaves_the_last_in_force():
    """Guard against a release that ends the process of every node."""
    parts = Parts()
    state = state_of(parts)
    state.attach(parts)
    for release in (
        release_of(1, "a"),
        release_of(2, "a", "a"),
        release_of(3, "a", "b"),
    ):
        parts.active = release
        state._put_in_force()
    installed = [
        call[1].position
        for call in parts.calls
        if call[0] == "install" and hasattr(call[1], "position")
    ]
    assert installed == [1, 3]
    assert parts.queued() == [ActiveReport(1), ActiveReport(3)]
    assert state.failed_releases == 1
