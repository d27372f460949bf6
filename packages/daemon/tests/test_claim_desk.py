from random import Random

import anyio
import pytest
from result import Ok

from rhubarbhollow_calls.claim import ClaimKey, ExpireClaims
from rhubarbhollow_calls.claim_codec import decode_outcome, encode_command
from rhubarbhollow_calls.claim_outcome import Claimed
from rhubarbhollow_daemon import claim_desk
from rhubarbhollow_daemon.claim_desk import ClaimDesk
from rhubarbhollow_daemon.claim_machine import ClaimMachine
from rhubarbhollow_daemon.messages import (
    ClaimRequest,
    PeerHello,
    ProposeRequest,
)
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_replication.role import Role
from rhubarbhollow_wire.clock import ManualClock
from rhubarbhollow_wire.traffic import Traffic

CLAIM = encode_command(ClaimKey(b"k", b"f" * 16, "n1", 1, 1, 0))


class Leader:
    """Apply at once what is proposed, as a quorum of one."""

    def __init__(self, machine):
        self._machine = machine
        self.role = Role.LEADER
        self.leader = "c1"

    @property
    def status(self):
        return self

    async def propose(self, payload):
        return Ok(self._machine.apply(1, payload))


def ask(command):
    machine = ClaimMachine()
    links = PeerLinks(
        PeerHello("m", "c1", 1, 1), ControlDirectory(), Traffic(), Random(1)
    )
    desk = ClaimDesk(machine, Leader(machine), links, ManualClock())
    answers = []
    anyio.run(desk.serve_node, ClaimRequest(7, command), answers.append)
    (answer,) = answers
    assert answer.request_id == 7
    return machine, answer.outcome


def test_a_claim_gets_the_leaders_time():
    machine, outcome = ask(CLAIM)
    assert isinstance(decode_outcome(outcome).unwrap(), Claimed)
    assert machine.ledger.high_ms > 0


@pytest.mark.parametrize(
    "command", [b"", b"noise", encode_command(ExpireClaims(10**15))]
)
def test_what_a_node_may_not_propose_has_no_outcome(command):
    machine, outcome = ask(command)
    assert outcome == b""
    assert machine.ledger.high_ms == 0


def test_a_quorum_that_stalls_holds_no_slot(monkeypatch):
    monkeypatch.setattr(claim_desk, "ANSWER_TIMEOUT_SECONDS", 0)
    monkeypatch.setattr(claim_desk, "MAX_CONCURRENT", 1)
    machine = ClaimMachine()
    leader = Leader(machine)
    leader.propose = lambda _: anyio.sleep_forever()
    links = PeerLinks(
        PeerHello("m", "c1", 1, 1), ControlDirectory(), Traffic(), Random(1)
    )
    desk = ClaimDesk(machine, leader, links, ManualClock())
    answers = []

    async def run():
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as group:
                for number in range(3):
                    request = ClaimRequest(number, CLAIM)
                    group.start_soon(desk.serve_node, request, answers.append)
                group.start_soon(
                    desk.serve_peer, "c2", ProposeRequest(9, 1, CLAIM, 2)
                )

    anyio.run(run)
    assert {answer.request_id for answer in answers} == {0, 1, 2}
    assert all(answer.outcome == b"" for answer in answers)
