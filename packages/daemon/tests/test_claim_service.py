from random import Random

import anyio
import pytest
from result import Ok

from rhubarbhollow_calls.claim import ClaimKey, ExpireClaims
from rhubarbhollow_calls.claim_codec import decode_outcome, encode_command
from rhubarbhollow_calls.claim_outcome import Claimed
from rhubarbhollow_daemon import claim_service
from rhubarbhollow_daemon.claim_machine import ClaimMachine
from rhubarbhollow_daemon.claim_service import ClaimService
from rhubarbhollow_daemon.messages import PeerHello, ProposeRequest
from rhubarbhollow_daemon.node_messages import ClaimRequest
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_replication.role import Role
from rhubarbhollow_wire.clock import ManualClock
from rhubarbhollow_wire.traffic import Traffic

CLAIM = encode_command(ClaimKey(b"k", b"f" * 16, "n1", 1, 1, 0))


class Leader:
    """Apply each proposal at once, as a quorum of one would."""

    def __init__(self, machine):
        self._machine = machine
        self.role = Role.LEADER
        self.leader = "c1"

    @property
    def status(self):
        return self

    async def propose(self, payload):
        return Ok(self._machine.apply(1, payload))


def send_from_node(command):
    machine = ClaimMachine()
    links = PeerLinks(
        PeerHello("m", "c1", 1, 1), ControlDirectory(), Traffic(), Random(1)
    )
    service = ClaimService(machine, Leader(machine), links, ManualClock())
    answers = []
    anyio.run(service.serve_node, ClaimRequest(7, command), answers.append)
    (answer,) = answers
    assert answer.request_id == 7
    return machine, answer.outcome


def test_claim_is_stamped_with_the_leaders_time():
    machine, outcome = send_from_node(CLAIM)
    assert isinstance(decode_outcome(outcome).unwrap(), Claimed)
    assert machine.ledger.high_ms > 0


@pytest.mark.parametrize(
    "command", [b"", b"noise", encode_command(ExpireClaims(10**15))]
)
def test_invalid_node_command_gets_an_empty_outcome(command):
    """A node sends undecodable bytes, or an expiry of its own.

    Neither may reach the ledger: only the leader expires claims.
    """
    machine, outcome = send_from_node(command)
    assert outcome == b""
    assert machine.ledger.high_ms == 0


def test_stalled_quorum_does_not_hold_concurrency_slots(monkeypatch):
    """Commands that wait for a stalled quorum must free their slot.

    Otherwise the next commands, of nodes and of peers, would wait for
    a slot beyond their timeout.
    """
    monkeypatch.setattr(claim_service, "ANSWER_TIMEOUT_SECONDS", 0)
    monkeypatch.setattr(claim_service, "MAX_CONCURRENT_COMMANDS", 1)
    machine = ClaimMachine()
    leader = Leader(machine)
    leader.propose = lambda _: anyio.sleep_forever()
    links = PeerLinks(
        PeerHello("m", "c1", 1, 1), ControlDirectory(), Traffic(), Random(1)
    )
    service = ClaimService(machine, leader, links, ManualClock())
    answers = []

    async def run():
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as group:
                for number in range(3):
                    request = ClaimRequest(number, CLAIM)
                    group.start_soon(
                        service.serve_node, request, answers.append
                    )
                group.start_soon(
                    service.serve_peer, "c2", ProposeRequest(9, 1, CLAIM, 2)
                )

    anyio.run(run)
    assert {answer.request_id for answer in answers} == {0, 1, 2}
    assert all(answer.outcome == b"" for answer in answers)
