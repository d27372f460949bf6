from types import SimpleNamespace

import pytest
from result import Err, Ok

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.messages import (
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
from rhubarbhollow_distribution.endpoint_table import NeedsEndpoints
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_fault import (
    NeedsDifference,
    StagingFull,
)
from rhubarbhollow_distribution.stage_request import StageRequest

STAGE = object.__new__(Stage)
object.__setattr__(STAGE, "position", 4)
CHANGE = EndpointChange("c1/1", 3, 4, (), is_full=False)


class Parts:
    """Stand in for what the state joins; note what it is told."""

    staged_position = 2
    held_digest = b"held"

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.told = []

    def __getattr__(self, name):
        def note(*arguments):
            self.told.append((name, *arguments))
            return self.outcome

        return note

    def puts(self):
        return [told[1] for told in self.told if told[0] == "put"]


def state_of(parts):
    return NodeState("m", "n1", "ilala", 7, *([parts] * 9))


@pytest.mark.parametrize(
    ("message", "outcome", "puts"),
    [
        (STAGE, Ok("report"), ["report"]),
        (STAGE, Err(NeedsDifference(1, b"d")), [StageRequest(1, b"d")]),
        (STAGE, Err(StagingFull((1,))), []),
        (Activate(4, b"d"), Ok(AlreadyActive(5)), [ActiveReport(5)]),
        (Activate(4, b"d"), Err("unknown"), [StageRequest(2, b"held")]),
        (CHANGE, Ok(()), []),
        (CHANGE, Err(NeedsEndpoints("c1/1", 2)), [EndpointsRequest("n1")]),
        (BurnRequest(3), (), [BurnAnswer(3, ())]),
        ("noise", None, []),
    ],
)
def test_what_a_message_is_answered_with(message, outcome, puts):
    parts = Parts(outcome)
    state_of(parts).take(message)
    assert parts.puts() == puts


@pytest.mark.parametrize(
    ("message", "name"),
    [
        (ClaimAnswer(1, b""), "take"),
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
def test_who_a_message_is_for(message, name):
    parts = Parts(Ok(()))
    state_of(parts).take(message)
    assert (name, message) in parts.told


def test_nothing_is_in_force_before_a_release_is():
    parts = Parts(SimpleNamespace())
    parts.active = None
    state_of(parts)._put_in_force()
    assert parts.told == []
